package driver

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// EntryDecider makes the decisions of an entry. Tests wrap it to plant faults.
type EntryDecider interface {
	Handle(now time.Time, event coordinator.Event) []coordinator.Effect
	View() *coordinator.Snapshot
}

// AgentDecider makes the decisions of an agent. Tests wrap it to plant faults.
type AgentDecider interface {
	Handle(now time.Time, event gatekeeper.Event) []gatekeeper.Effect
}

// Network holds the faults that links add to each message.
type Network struct {
	// Duplicate is the share of messages that arrive twice.
	Duplicate float64
	// Late is the share of messages that are delayed, so that others overtake them.
	Late float64
	// LateBy is the upper limit of the random delay of late messages and of second
	// copies.
	LateBy time.Duration
}

// deliver sends a message to a process, in order unless the network is faulty. The
// message is dropped if the link is cut or silenced when the message arrives.
func (w *World) deliver(from string, sender, to messenger.Incarnation, m messenger.Message) {
	data, err := messenger.Encode(m)
	if err != nil {
		panic(err)
	}
	decoded, err := messenger.Decode(data)
	if err != nil {
		panic(err)
	}
	receive := func() { w.receive(from, sender, to, decoded) }
	w.scheduleAt(w.now.Add(linkDelay+w.randomDelay(w.Network.Late)), receive)
	if w.chance(w.Network.Duplicate) {
		w.scheduleAt(w.now.Add(linkDelay+w.randomDelay(1)), receive)
	}
}

func (w *World) chance(share float64) bool {
	return share > 0 && w.random.Float64() < share
}

func (w *World) randomDelay(share float64) time.Duration {
	if w.Network.LateBy == 0 || !w.chance(share) {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(w.Network.LateBy)))
}

func (w *World) receive(from string, sender, to messenger.Incarnation, m messenger.Message) {
	name := w.processNames[to]
	if w.cutLinks[linkKey(from, name)] || w.silencedLinks[[2]string{from, name}] {
		return
	}
	if handler := w.handlers[to]; handler != nil {
		handler(sender, m)
	}
}

// observeEntry records the settings version in force at an entry if the entry's
// settings were confirmed within the last 2.5 s. An entry with older settings cannot
// make an agent start a task.
func (w *World) observeEntry(n *entryNode) {
	if n.stopped() || n.pausedUntil.After(w.now) {
		return
	}
	view := n.state.View()
	if w.now.Sub(view.SettingsConfirmedAt) <= 2500*time.Millisecond {
		w.Observations = append(w.Observations, SettingsObservation{Process: n.incarnation, Version: view.SettingsVersion, At: w.Elapsed()})
	}
}

// observeAgent records the settings version that an agent reports, if the agent has
// started a task within the last 500 ms. A version has no effect at an agent that starts
// no tasks.
func (w *World) observeAgent(n *agentNode, m messenger.Message) {
	report, ok := m.(messenger.Report)
	if !ok || n.lastStartAt.IsZero() || w.now.Sub(n.lastStartAt) > 500*time.Millisecond {
		return
	}
	w.Observations = append(w.Observations, SettingsObservation{Process: n.incarnation, Version: report.SettingsVersion, At: w.Elapsed()})
}
