package coordinator

import (
	"slices"
	"strings"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/placer"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// agent is an entry's view of one agent and its endpoint.
type agent struct {
	name          string
	incarnation   messenger.Incarnation
	hello         messenger.Hello
	lastMessageAt time.Time
	// lastSuccessAt is when a task of this entry last succeeded there.
	lastSuccessAt time.Time
	// sequence is the number of the last report; starts and statuses echo it.
	sequence        uint64
	load            messenger.EndpointLoad
	settingsVersion uint64
	scope           resolver.Scope
	silent          bool
	// leaving is true if the agent is about to close its link to this entry.
	leaving              bool
	gone                 bool
	heldBack             bool
	domainOut            bool
	directorySentVersion uint64
	statusAt             time.Time
	sent                 map[copyKey]*task
}

// copyKey identifies one attempt of a task.
type copyKey struct {
	task    messenger.TaskKey
	attempt int
}

func compareCopies(a, b copyKey) int {
	if c := strings.Compare(a.task.Submission.String(), b.task.Submission.String()); c != 0 {
		return c
	}
	if a.task.Index != b.task.Index {
		return a.task.Index - b.task.Index
	}
	return a.attempt - b.attempt
}

// markAlive records that a message from a process was received.
func (s *State) markAlive(from messenger.Incarnation) {
	if a := s.agentByIncarnation[from]; a != nil {
		a.lastMessageAt = s.now
		if a.silent {
			a.silent = false
			s.updateBlocks(a)
		}
	}
	if p := s.peers[from]; p != nil {
		p.lastMessageAt = s.now
	}
}

// agentLinked handles a new link of an agent. Another incarnation means that the former
// one is gone. The same incarnation is sent the unanswered starts and cancels again; this
// is harmless because the agent answers a known task with its state.
func (s *State) agentLinked(hello messenger.Hello) {
	a := s.agents[hello.Name]
	if a != nil && a.incarnation != hello.Incarnation {
		s.agentGone(a, "the agent was restarted")
		a = nil
	}
	if a == nil {
		a = s.addAgent(hello)
	}
	a.gone = false
	a.hello = hello
	a.directorySentVersion = 0
	s.markAlive(a.incarnation)
	s.resend(a)
}

func (s *State) addAgent(hello messenger.Hello) *agent {
	a := &agent{
		name:          hello.Name,
		incarnation:   hello.Incarnation,
		hello:         hello,
		lastMessageAt: s.now,
		sent:          make(map[copyKey]*task),
	}
	s.agents[a.name] = a
	s.agentByIncarnation[a.incarnation] = a
	at, _ := slices.BinarySearchFunc(s.sortedAgents, a.name, func(x *agent, name string) int {
		return strings.Compare(x.name, name)
	})
	s.sortedAgents = slices.Insert(s.sortedAgents, at, a)
	for _, t := range s.sortedTakeovers() {
		s.fenceAgent(t, a)
	}
	return a
}

func (s *State) resend(a *agent) {
	for _, key := range a.sortedCopies() {
		s.resendCopy(a, key)
	}
	s.resendWitnesses(a)
	for _, t := range s.sortedTakeovers() {
		if t.awaiting[a.incarnation] {
			s.send(a.incarnation, t.fence())
		}
	}
}

// resendCopy repeats the last message about an unanswered attempt. A cancelled attempt must
// not start, so its start is not repeated. The repeated message is dated like the first one:
// an agent whose record has expired must not take the attempt for a new one.
func (s *State) resendCopy(a *agent, key copyKey) {
	t := a.sent[key]
	i := t.copyOf(key.attempt)
	if i < 0 {
		return
	}
	if sent := &t.copies[i]; sent.cancelSent {
		s.sendCancel(t, sent)
		return
	}
	s.send(a.incarnation, s.startMessage(t, &t.copies[i]))
}

func (a *agent) sortedCopies() []copyKey {
	keys := make([]copyKey, 0, len(a.sent))
	for key := range a.sent {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareCopies)
	return keys
}

// agentGone removes an agent incarnation. The tasks that it was asked to start are in
// doubt.
func (s *State) agentGone(a *agent, reason string) {
	s.index.Remove(a.name)
	delete(s.agents, a.name)
	delete(s.agentByIncarnation, a.incarnation)
	s.sortedAgents = slices.DeleteFunc(s.sortedAgents, func(x *agent) bool { return x == a })
	s.witnessLost(a.incarnation)
	for _, t := range s.sortedTakeovers() {
		s.agentLost(t, a.incarnation)
	}
	for _, key := range a.sortedCopies() {
		t := a.sent[key]
		if s.removeCopy(t, key.attempt, a.incarnation, placer.TaskResult{Outcome: placer.Lost}) && t.phase != taskDone {
			s.markInDoubt(t, reason)
		}
	}
}

// report handles an agent's report: a periodic one, or an update between two periodic
// ones that repeats the last sequence number because the load has changed.
func (s *State) report(from messenger.Incarnation, m messenger.Report) {
	a := s.agentByIncarnation[from]
	if a == nil {
		a = s.takeBackAgent(from)
	}
	if a == nil || m.Sequence < a.sequence {
		return
	}
	first := a.sequence == 0
	if m.Sequence > a.sequence {
		a.heldBack = false
	}
	a.sequence = m.Sequence
	a.settingsVersion = m.SettingsVersion
	a.leaving = m.Leaving
	if first || a.scope.Service != m.Load.Service || !slices.Equal(a.load.Labels, m.Load.Labels) ||
		a.load.Slots != m.Load.Slots || a.load.Capacity != m.Load.Capacity {
		suspect := a.load.Suspect
		a.load = m.Load
		s.register(a)
		s.noteSuspicion(a, suspect)
	}
	suspect := a.load.Suspect
	a.load = m.Load
	s.index.UpdateLoad(s.now, a.name, m.Load)
	s.noteSuspicion(a, suspect)
	s.updateBlocks(a)
	if first || s.now.Sub(a.statusAt) >= s.Config.StatusInterval/2 {
		// Sent at once, the status shares a packet with the acknowledgement of the report.
		s.sendStatus(a)
	}
}

// register puts an agent's endpoint into the placement index with the settings in force.
func (s *State) register(a *agent) {
	a.scope = resolver.Scope{
		Firm:          a.hello.Firm,
		Place:         a.hello.Place,
		FailureDomain: a.hello.FailureDomain,
		Service:       a.load.Service,
	}
	if a.load.Service == "" || s.tree == nil {
		return
	}
	settings, declared := s.tree.Resolve(a.scope)
	a.domainOut = !declared || settings.State != messenger.DomainIn
	s.index.Put(s.now, placer.Endpoint{
		Name:       a.name,
		Scope:      a.scope,
		Labels:     a.load.Labels,
		Slots:      a.load.Slots,
		Capacity:   a.load.Capacity,
		QueueLimit: settings.QueueLimit,
		EjectAfter: settings.EjectAfter,
		EjectFor:   time.Duration(settings.EjectFor),
		RampUp:     time.Duration(settings.RampUp),

		SuspectAfter: settings.SuspectAfter,
	})
	s.index.UpdateLoad(s.now, a.name, a.load)
	s.updateBlocks(a)
}

// updateBlocks updates the index with the reasons why the endpoint may not get new work.
func (s *State) updateBlocks(a *agent) {
	s.block(a, placer.BlockSilent, a.silent || a.heldBack)
	s.block(a, placer.BlockDomainOut, a.domainOut)
	s.block(a, placer.BlockDraining, a.load.Draining)
}

func (s *State) block(a *agent, reason placer.BlockReason, blocked bool) {
	if blocked {
		s.index.Block(s.now, a.name, reason)
		return
	}
	s.index.Unblock(s.now, a.name, reason)
}

// updateLoad applies the load that is piggybacked on answers. That load no longer
// includes the answered task, so the caller must end that task's copy first: the index
// attributes reported load in excess of this entry's own tasks to other entries.
func (s *State) updateLoad(from messenger.Incarnation, load messenger.EndpointLoad) {
	a := s.agentByIncarnation[from]
	if a == nil {
		return
	}
	changed, suspect := a.load.Draining != load.Draining, a.load.Suspect
	load.Service = a.load.Service
	load.Labels = a.load.Labels
	load.Capacity = a.load.Capacity
	a.load = load
	s.index.UpdateLoad(s.now, a.name, load)
	s.noteSuspicion(a, suspect)
	if changed {
		s.updateBlocks(a)
	}
}

// watchAgents marks agents as silent after SilentAfter and removes them after GoneAfter.
// If more than half of several agents are silent, this entry is assumed to be cut off
// and no agent is removed: the answers to its starts are awaited up to the deadlines of
// the jobs.
func (s *State) watchAgents() {
	s.removeLeft()
	var gone []*agent
	silent := 0
	for _, a := range s.sortedAgents {
		sinceMessage := s.now.Sub(a.lastMessageAt)
		if sinceMessage >= s.Config.SilentAfter && !a.silent {
			a.silent = true
			s.updateBlocks(a)
		}
		if a.silent {
			silent++
		}
		if sinceMessage >= s.Config.GoneAfter {
			gone = append(gone, a)
		}
	}
	if silent > 1 && 2*silent > len(s.sortedAgents) {
		return
	}
	for _, a := range gone {
		s.dropAgent(a, "the agent was silent for too long")
	}
}

func (s *State) dropAgent(a *agent, reason string) {
	s.agentGone(a, reason)
	s.remember(a.hello, reason)
}

// removeLeft removes the agents that have left this entry. Their silence does not show that
// this entry is cut off.
func (s *State) removeLeft() {
	var left []*agent
	for _, a := range s.sortedAgents {
		if a.leaving && len(a.sent) == 0 && s.now.Sub(a.lastMessageAt) >= s.Config.SilentAfter {
			left = append(left, a)
		}
	}
	for _, a := range left {
		s.dropAgent(a, "the agent has left this entry")
	}
}

// releaseCopies frees the slots of the unanswered attempts of a given-up task.
func (s *State) releaseCopies(t *task) {
	for len(t.copies) > 0 {
		c := t.copies[0]
		s.removeCopy(t, c.attempt, c.agent.incarnation, placer.TaskResult{Outcome: placer.Lost})
	}
}
