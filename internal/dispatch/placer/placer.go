// Package placer maintains an entry's index of endpoints and chooses an endpoint for
// a task.
//
// The index does no I/O, reads no clock and takes no locks. Time and the random source
// are parameters, so the same calls with the same seed give the same choices.
package placer

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Endpoint describes an endpoint and the settings that apply to it.
type Endpoint struct {
	Name   string
	Scope  resolver.Scope
	Labels []string
	// Slots is the number of tasks that the endpoint runs at once.
	Slots int
	// Capacity, if not zero, replaces Slots as the limit: each task uses resources
	// according to its size.
	Capacity messenger.Resources
	// QueueLimit is the length of the agent's queue. The queue absorbs collisions
	// between entries that choose the same slot. Choose does not count on it.
	QueueLimit int
	// EjectAfter is the number of consecutive failures after which the endpoint is
	// ejected. With 0, it is never ejected.
	EjectAfter int
	EjectFor   time.Duration
	RampUp     time.Duration
	// SuspectAfter is the number of failures that the agent counts before it reports the
	// endpoint as suspect. A suspect endpoint that stays in use has at least their cost.
	SuspectAfter int
}

// BlockReason is a reason why no tasks are sent to an endpoint.
type BlockReason uint8

// The reasons to block an endpoint. Several may apply at once.
const (
	BlockSilent BlockReason = 1 << iota
	BlockDomainOut
	BlockDraining

	// reportedDraining is set by the agent's report. It is separate from
	// BlockDraining, so that a report does not remove a block that the caller set.
	reportedDraining
)

// Outcome is how a task that was sent to an endpoint ended.
type Outcome int

// The outcomes. NotStarted and Lost have no effect on the endpoint's health.
const (
	Succeeded Outcome = iota
	Failed
	NotStarted
	Lost
)

// TaskResult describes a task that is no longer outstanding.
type TaskResult struct {
	RunTime  time.Duration
	Declared time.Duration
	Size     messenger.Resources
	Outcome  Outcome
}

// Index contains the endpoints of all firms and services.
type Index struct {
	// Policy may be set before the first call of Choose.
	Policy Policy

	members map[string]*member
	pools   map[poolKey]*pool
	// now is the time of the last call that had a time parameter. Calls without one
	// use it.
	now       time.Time
	timers    timerHeap
	timerSeq  uint64
	ejections uint64
}

// New returns an empty index with the default policy.
func New() *Index {
	return &Index{
		Policy:  DefaultPolicy(),
		members: make(map[string]*member),
		pools:   make(map[poolKey]*pool),
	}
}

// Put adds or updates an endpoint. A new endpoint starts its ramp-up. An update keeps
// the endpoint's load, speed, blocks and ejection.
func (x *Index) Put(now time.Time, e Endpoint) {
	x.advance(now)
	m, known := x.members[e.Name]
	if !known {
		m = &member{Endpoint: e, factor: 1}
		x.members[e.Name] = m
		x.join(m)
		x.startRamp(now, m)
		x.refresh(m)
		x.ejectSuspects(now, m.pool)
		return
	}
	x.update(now, m, e)
}

// update replaces the description of m, and moves m to another pool or failure domain
// if its scope changed.
func (x *Index) update(now time.Time, m *member, e Endpoint) {
	p, d := m.pool, m.domain
	x.leave(m)
	m.Endpoint = e
	x.join(m)
	if m.ramping {
		x.scheduleRamp(now, m)
	}
	x.refresh(m)
	x.reconcile(now, p, d)
	x.reconcile(now, m.pool, m.domain)
}

// Remove deletes an endpoint from the index, including its outstanding tasks.
func (x *Index) Remove(name string) {
	m, known := x.members[name]
	if !known {
		return
	}
	m.timerID++
	delete(x.members, name)
	x.leave(m)
	x.reconcile(x.now, m.pool, m.domain)
}

// UpdateLoad applies a load reported by the endpoint's agent. The reported load
// includes the tasks of this entry; the rest of it is due to other entries.
func (x *Index) UpdateLoad(now time.Time, name string, load messenger.EndpointLoad) {
	x.advance(now)
	m, known := x.members[name]
	if !known {
		return
	}
	m.otherTasks = max(0, load.Running+load.Queued-m.outstanding)
	m.takenByOthers = load.Taken.Sub(m.taken).ClampNegative()
	if load.Runs > 0 {
		m.setReportedSlowness(load.Slowness)
	}
	x.setSuspicion(now, m, load.Suspect, load.Probe)
	if load.Draining {
		x.setBlocks(now, m, m.blocks|reportedDraining)
		return
	}
	x.setBlocks(now, m, m.blocks&^reportedDraining)
}

// Block adds a reason why no tasks are sent to the endpoint.
func (x *Index) Block(now time.Time, name string, reason BlockReason) {
	x.advance(now)
	if m, known := x.members[name]; known {
		x.setBlocks(now, m, m.blocks|reason)
	}
}

// Unblock removes a reason. When the last reason is removed, the endpoint starts its
// ramp-up, unless it is ejected or probing.
func (x *Index) Unblock(now time.Time, name string, reason BlockReason) {
	x.advance(now)
	if m, known := x.members[name]; known {
		x.setBlocks(now, m, m.blocks&^reason)
	}
}

func (x *Index) setBlocks(now time.Time, m *member, blocks BlockReason) {
	before := m.blocks
	m.blocks = blocks
	if before != 0 && blocks == 0 && m.phase == phaseIn {
		x.startRamp(now, m)
	}
	x.refresh(m)
	if (before == 0) != (blocks == 0) {
		x.reconcile(now, m.pool, m.domain)
	}
}

// Sent records that a task was sent to the endpoint.
func (x *Index) Sent(now time.Time, name string, size messenger.Resources) {
	x.advance(now)
	m, known := x.members[name]
	if !known {
		return
	}
	m.outstanding++
	m.taken = m.taken.Add(size)
	m.lastActivity = now
	if m.phase == phaseProbing {
		m.probeSent = true
	}
	x.refresh(m)
}

// Returned records that a task is no longer outstanding, and updates the endpoint's
// speed and failures from its result.
func (x *Index) Returned(now time.Time, name string, result TaskResult) {
	x.advance(now)
	m, known := x.members[name]
	if !known {
		return
	}
	m.outstanding = max(0, m.outstanding-1)
	m.taken = m.taken.Sub(result.Size).ClampNegative()
	m.lastActivity = now
	switch result.Outcome {
	case Succeeded:
		m.pool.learn(m, result.RunTime, result.Declared)
		x.succeeded(now, m)
	case Failed:
		x.failed(now, m)
	case NotStarted, Lost:
		// The task may have been sent before the probe, in which case the probe is
		// still outstanding and a second one may follow. That does less harm than an
		// endpoint that is never probed again.
		m.probeSent = false
	}
	x.refresh(m)
}

// Ejections returns the number of ejections so far, over all endpoints.
func (x *Index) Ejections() uint64 { return x.ejections }

// Outstanding returns the number of this entry's tasks at the endpoint.
func (x *Index) Outstanding(name string) int {
	if m, known := x.members[name]; known {
		return m.outstanding
	}
	return 0
}

// The states of an endpoint, as shown by the API.
const (
	StateIn        = "in"
	StateSilent    = "silent"
	StateDraining  = "draining"
	StateDomainOut = "domain_out"
	StateEjected   = "ejected"
	StateProbing   = "probing"
	StateRamping   = "ramping"
	// StateSuspect: the agent has found that too many tasks fail at the endpoint. In the
	// state StateSuspectInUse, the endpoint is used nevertheless because of the limits on
	// ejections.
	StateSuspect      = "suspect"
	StateSuspectInUse = "suspect_in_use"
)

// State returns the state of an endpoint at the time of the last call that had a time
// parameter, and an empty string for an unknown endpoint. If several states apply,
// those that an operator caused take precedence.
func (x *Index) State(name string) string {
	m, known := x.members[name]
	switch {
	case !known:
		return ""
	case m.blocks&BlockDomainOut != 0:
		return StateDomainOut
	case m.blocks&(BlockDraining|reportedDraining) != 0:
		return StateDraining
	case m.blocks&BlockSilent != 0:
		return StateSilent
	case m.suspect && m.phase == phaseEjected:
		return StateSuspect
	case m.suspect && m.phase == phaseIn:
		return StateSuspectInUse
	case m.phase == phaseEjected:
		return StateEjected
	case m.phase == phaseProbing:
		return StateProbing
	case m.ramping:
		return StateRamping
	}
	return StateIn
}
