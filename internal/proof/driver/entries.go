package driver

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// entryNode runs the decision code of one incarnation of an entry.
type entryNode struct {
	world       *World
	name        string
	incarnation messenger.Incarnation
	state       EntryDecider
	crashed     bool
	exited      bool
	// drainedAt is the time at which a graceful stop was complete.
	drainedAt   time.Time
	pausedUntil time.Time
}

func (w *World) startEntry(name string) {
	incarnation := w.newIncarnation(name)
	config := coordinator.Defaults(name, incarnation, name)
	if w.MaxStoreOutage > 0 {
		config.MaxStoreOutage = w.MaxStoreOutage
	}
	node := &entryNode{
		world:       w,
		name:        name,
		incarnation: incarnation,
		state: &coordinator.State{
			Config: config,
			Random: rand.New(rand.NewPCG(w.Seed, uint64(w.incarnations))),
		},
	}
	if w.NewEntry != nil {
		node.state = w.NewEntry(name, node.state)
	}
	w.entries[name] = node
	w.processNames[incarnation] = name
	w.handlers[incarnation] = func(sender messenger.Incarnation, m messenger.Message) {
		node.handle(coordinator.Received{From: sender, Message: m})
	}
	w.tickEntry(node)
	w.pollSettings(node)
	w.linkAll()
}

func (w *World) tickEntry(node *entryNode) {
	if node.stopped() {
		return
	}
	node.handle(coordinator.Tick{})
	w.scheduleAt(w.now.Add(coordinator.TickInterval), func() { w.tickEntry(node) })
}

func (w *World) pollSettings(node *entryNode) {
	if node.stopped() {
		return
	}
	sentAt := w.now
	w.after(readLatency, func() {
		if w.table.reachable(node.name) {
			tree, version := w.table.tree, w.table.version
			w.reply(func() {
				node.handle(coordinator.SettingsRead{SentAt: sentAt, Version: version, Tree: &tree})
				w.observeEntry(node)
			})
		}
	})
	w.scheduleAt(w.now.Add(settingsPollInterval), func() { w.pollSettings(node) })
}

func (n *entryNode) stopped() bool {
	return n.crashed || n.exited
}

// handle passes an event to the decision code and executes the effects. While the entry
// is paused, events are deferred to the end of the pause and ticks are dropped.
func (n *entryNode) handle(event coordinator.Event) {
	if n.stopped() {
		return
	}
	if n.pausedUntil.After(n.world.now) {
		if _, tick := event.(coordinator.Tick); !tick {
			n.world.scheduleAt(n.pausedUntil, func() { n.handle(event) })
		}
		return
	}
	if n.world.OnEvent != nil {
		n.world.OnEvent(n.incarnation, n.world.now, event)
	}
	for _, effect := range n.state.Handle(n.world.now, event) {
		if n.world.OnEffect != nil {
			n.world.OnEffect(n.incarnation, n.world.now, effect)
		}
		n.execute(effect)
	}
}

func (n *entryNode) execute(effect coordinator.Effect) {
	w := n.world
	switch e := effect.(type) {
	case coordinator.Reply:
		w.Answers = append(w.Answers, CallerAnswer{Call: e.Call, Answer: e.Answer, At: w.Elapsed()})
	case coordinator.Send:
		w.deliver(n.name, n.incarnation, e.To, e.Message)
	case coordinator.CommitIntent:
		w.commitIntent(n, e.Row, w.now.Add(storeTimeout))
	case coordinator.ReadIntent:
		w.readIntent(n, e.Key, w.now.Add(storeTimeout))
	case coordinator.CommitOutcome:
		w.commitOutcome(n, e.Outcome)
	case coordinator.RenewLease:
		w.renewLease(n, e.Renewal)
	case coordinator.FenceEntry:
		w.fenceEntry(n, e.Row)
	case coordinator.ReleaseLease:
		w.releaseLease(n)
	case coordinator.Drained:
		n.exited = true
		n.drainedAt = w.now
	case coordinator.Exit:
		n.exited = true
	case coordinator.Decision:
	}
}

// linkAll links each entry with all agents and all other entries. A link of stopped
// processes or of a pair whose link is cut is not established.
func (w *World) linkAll() {
	for _, entry := range w.sortedEntries() {
		for _, agent := range w.sortedAgents() {
			w.linkAgent(entry, agent)
		}
		for _, other := range w.sortedEntries() {
			if other != entry {
				w.linkPeer(entry, other)
			}
		}
	}
}

func (w *World) linkAgent(entry *entryNode, agent *agentNode) {
	w.after(linkDelay, func() {
		if entry.stopped() || agent.crashed || w.cutLinks[linkKey(entry.name, agent.name)] {
			return
		}
		entry.handle(coordinator.AgentLinked{Hello: agent.hello()})
		agent.handle(gatekeeper.EntryLinked{Entry: entry.incarnation})
	})
}

func (w *World) linkPeer(entry, other *entryNode) {
	w.after(linkDelay, func() {
		if entry.stopped() || other.stopped() || w.cutLinks[linkKey(entry.name, other.name)] {
			return
		}
		entry.handle(coordinator.PeerLinked{Name: other.name, Incarnation: other.incarnation})
	})
}

func (w *World) sortedEntries() []*entryNode {
	nodes := make([]*entryNode, 0, len(w.entries))
	for _, name := range sortedNames(w.entries) {
		nodes = append(nodes, w.entries[name])
	}
	return nodes
}

func (w *World) sortedAgents() []*agentNode {
	nodes := make([]*agentNode, 0, len(w.agents))
	for _, name := range sortedNames(w.agents) {
		nodes = append(nodes, w.agents[name])
	}
	return nodes
}

func sortedNames[T any](nodes map[string]T) []string {
	names := make([]string, 0, len(nodes))
	for name := range nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
