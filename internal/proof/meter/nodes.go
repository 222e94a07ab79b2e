package meter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

const (
	settingsPollInterval = 500 * time.Millisecond
	announceInterval     = time.Second
)

// entryNode drives the decision state of one entry, and fakes its callers and the
// store.
type entryNode struct {
	world       *world
	name        string
	incarnation messenger.Incarnation
	state       *coordinator.State
}

func (w *world) startEntry(name string, number uint64) {
	incarnation := messenger.Incarnation(name + "~1")
	n := &entryNode{
		world:       w,
		name:        name,
		incarnation: incarnation,
		state: &coordinator.State{
			Config: coordinator.Defaults(name, incarnation, name),
			Random: rand.New(rand.NewPCG(w.options.Seed, number+2)),
		},
	}
	w.entries = append(w.entries, n)
	w.entryOf[incarnation] = n
	w.every(coordinator.TickInterval, func() { n.handle(coordinator.Tick{}) })
	w.every(settingsPollInterval, func() {
		n.handle(coordinator.SettingsRead{SentAt: w.now, Version: 1, Tree: &w.tree})
	})
}

func (n *entryNode) handle(event coordinator.Event) {
	for _, effect := range n.state.Handle(n.world.now, event) {
		n.execute(effect)
	}
}

func (n *entryNode) execute(effect coordinator.Effect) {
	w := n.world
	switch e := effect.(type) {
	case coordinator.Reply:
		w.recordAnswer(e)
	case coordinator.Send:
		w.deliver(n.incarnation, e.To, e.Message)
	case coordinator.CommitIntent:
		w.callStore(func() { n.handle(coordinator.IntentSettled{Key: e.Row.Key, Row: &e.Row}) })
	case coordinator.ReadIntent:
		w.callStore(func() { n.handle(coordinator.IntentSettled{Key: e.Key}) })
	case coordinator.CommitOutcome:
		w.callStore(func() { n.handle(coordinator.OutcomeSettled{Key: e.Outcome.Key, Outcome: &e.Outcome}) })
	case coordinator.RenewLease:
		w.callStore(func() { n.renew(e.Renewal) })
	case coordinator.FenceEntry, coordinator.Decision, coordinator.Drained, coordinator.Exit:
	}
}

// callStore fakes a call to the store: it counts the request and the reply, and calls
// done after the write latency.
func (w *world) callStore(done func()) {
	w.messages.Store += 2
	w.after(w.options.WriteLatency, done)
}

func (n *entryNode) renew(renewal uint64) {
	rows := n.world.rows
	rows[n.name] = coordinator.EntryRow{
		Name: n.name, Incarnation: n.incarnation, Address: n.name, Renewal: renewal,
	}
	directory := make([]coordinator.EntryRow, 0, len(rows))
	for _, row := range rows {
		directory = append(directory, row)
	}
	slices.SortFunc(directory, func(a, b coordinator.EntryRow) int { return strings.Compare(a.Name, b.Name) })
	n.handle(coordinator.LeaseRenewed{Renewal: renewal, Directory: directory})
}

// deliver sends a message over a link. Links keep the order of messages.
func (w *world) deliver(from, to messenger.Incarnation, m messenger.Message) {
	w.countMessage(m)
	w.after(w.options.LinkDelay, func() {
		if n := w.entryOf[to]; n != nil {
			n.handle(coordinator.Received{From: from, Message: m})
		}
		if n := w.agentOf[to]; n != nil {
			n.handle(gatekeeper.Received{From: from, Message: m})
		}
	})
}

// agentNode drives the decision state of one agent and fakes its endpoint.
type agentNode struct {
	world *world
	hello messenger.Hello
	speed float64
	state *gatekeeper.State
}

func (w *world) startAgent(number int) {
	name := fmt.Sprintf("agent-%03d", number)
	incarnation := messenger.Incarnation(name + "~1")
	n := &agentNode{
		world: w,
		hello: messenger.Hello{
			Role: messenger.RoleAgent, Name: name, Incarnation: incarnation,
			Firm: firmName, Place: placeName, FailureDomain: domains[number%len(domains)],
		},
		speed: w.options.speed(number),
		state: &gatekeeper.State{Name: name, Incarnation: incarnation},
	}
	w.agents = append(w.agents, n)
	w.agentOf[incarnation] = n
	w.every(announceInterval, func() {
		n.handle(gatekeeper.EndpointAnnounced{Service: serviceName, Slots: w.options.Slots})
	})
	// The ticks of the agents are spread over the interval, since those of real
	// agents are not synchronized.
	offset := time.Duration(number) * coordinator.TickInterval / time.Duration(w.options.Agents)
	w.after(offset, func() {
		w.every(coordinator.TickInterval, func() { n.handle(gatekeeper.Tick{}) })
	})
}

func (w *world) link(entry *entryNode, agent *agentNode) {
	w.after(w.options.LinkDelay, func() {
		entry.handle(coordinator.AgentLinked{Hello: agent.hello})
		agent.handle(gatekeeper.EntryLinked{Entry: entry.incarnation})
	})
}

func (n *agentNode) handle(event gatekeeper.Event) {
	for _, effect := range n.state.Handle(n.world.now, event) {
		switch e := effect.(type) {
		case gatekeeper.Send:
			n.world.deliver(n.hello.Incarnation, e.To, e.Message)
		case gatekeeper.Invoke:
			n.invoke(e)
		case gatekeeper.DirectoryChanged, gatekeeper.Decision, gatekeeper.HealthDecision, gatekeeper.Drained:
		}
	}
}

// invoke runs a task on the fake endpoint.
func (n *agentNode) invoke(e gatekeeper.Invoke) {
	w := n.world
	w.messages.Starts++
	task := w.jobs[w.jobNumber[e.Task.Submission]].tasks[e.Task.Index]
	run := time.Duration(float64(task.runTime) / n.speed)
	w.after(run, func() {
		n.handle(gatekeeper.Invoked{
			Task: e.Task, Attempt: e.Attempt, RunTime: run,
			Outcome: messenger.TaskOutcome{State: messenger.TaskSucceeded},
		})
	})
}
