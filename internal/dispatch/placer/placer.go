// Package placer keeps an index of the endpoints that an entry knows and
// chooses one for a task.
//
// The index does no I/O, reads no clock and takes no locks. Time and randomness
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
	// Slots is how many tasks the endpoint runs at once.
	Slots int
	// Capacity, if stated, replaces the slots: tasks take room by their size.
	Capacity messenger.Resources
	// QueueLimit is the length of the agent's queue. It absorbs collisions
	// between entries; Choose never plans to use it.
	QueueLimit int
	// EjectAfter is the number of failures in a row that ejects; 0 never ejects.
	EjectAfter int
	EjectFor   time.Duration
	RampUp     time.Duration
}

// BlockReason is a reason for which an endpoint receives nothing.
type BlockReason uint8

// The reasons to block an endpoint. An endpoint may have several at once.
const (
	BlockSilent BlockReason = 1 << iota
	BlockDomainOut
	BlockDraining

	// toldDraining is kept apart from BlockDraining, so that a report does not
	// lift a block that the caller has set.
	toldDraining
)

// Outcome tells how a task that was sent came back.
type Outcome int

// The verdicts. NotStarted and Lost say nothing about the endpoint's health.
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

// Index holds the endpoints of all firms and services.
type Index struct {
	// Policy may be set before the first call of Choose.
	Policy Policy

	members map[string]*member
	pools   map[poolKey]*pool
	// now is the latest time seen. It serves calls that carry none.
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

// Put adds or updates an endpoint. A new one starts its ramp-up. An update
// keeps load, speed, blocks and ejection.
func (x *Index) Put(now time.Time, e Endpoint) {
	x.advance(now)
	m, known := x.members[e.Name]
	if !known {
		m = &member{Endpoint: e, factor: 1}
		x.members[e.Name] = m
		x.join(m)
		x.startRamp(now, m)
		x.refresh(m)
		return
	}
	x.update(now, m, e)
}

// update moves m to another pool or failure domain if the scope changed.
func (x *Index) update(now time.Time, m *member, e Endpoint) {
	p, d := m.pool, m.domain
	x.leave(m)
	m.Endpoint = e
	x.join(m)
	if m.ramping {
		x.scheduleRamp(now, m)
	}
	x.refresh(m)
	x.settle(now, p, d)
	x.settle(now, m.pool, m.domain)
}

// Remove forgets an endpoint, including its outstanding tasks.
func (x *Index) Remove(name string) {
	m, known := x.members[name]
	if !known {
		return
	}
	m.timer++
	delete(x.members, name)
	x.leave(m)
	x.settle(x.now, m.pool, m.domain)
}

// UpdateLoad takes over the load told by the endpoint's agent. The told load includes
// the tasks of this entry; the rest are tasks of other entries.
func (x *Index) UpdateLoad(now time.Time, name string, load messenger.EndpointLoad) {
	x.advance(now)
	m, known := x.members[name]
	if !known {
		return
	}
	m.others = max(0, load.Running+load.Queued-m.outstanding)
	m.othersTake = load.Taken.Sub(m.taken).ClampNegative()
	if load.Runs > 0 {
		m.take(load.Slowness)
	}
	if load.Draining {
		x.setBlocks(now, m, m.blocks|toldDraining)
		return
	}
	x.setBlocks(now, m, m.blocks&^toldDraining)
}

// Block adds a reason for which the endpoint receives nothing.
func (x *Index) Block(now time.Time, name string, reason BlockReason) {
	x.advance(now)
	if m, known := x.members[name]; known {
		x.setBlocks(now, m, m.blocks|reason)
	}
}

// Unblock lifts one reason. When the last is lifted, the endpoint ramps up.
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
		x.settle(now, m.pool, m.domain)
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
	m.changed = now
	if m.phase == phaseProbing {
		m.probeSent = true
	}
	x.refresh(m)
}

// Returned records that a task is no longer outstanding, and learns from it.
func (x *Index) Returned(now time.Time, name string, result TaskResult) {
	x.advance(now)
	m, known := x.members[name]
	if !known {
		return
	}
	m.outstanding = max(0, m.outstanding-1)
	m.taken = m.taken.Sub(result.Size).ClampNegative()
	m.changed = now
	switch result.Outcome {
	case Succeeded:
		m.pool.learn(m, result.RunTime, result.Declared)
		x.succeeded(now, m)
	case Failed:
		x.failed(now, m)
	case NotStarted, Lost:
		// The task may be an older one than the probe. A second probe does less
		// harm than an endpoint that is never probed again.
		m.probeSent = false
	}
	x.refresh(m)
}

// Ejections returns how often endpoints have been ejected.
func (x *Index) Ejections() uint64 { return x.ejections }

// Outstanding returns the number of this entry's tasks at the endpoint.
func (x *Index) Outstanding(name string) int {
	if m, known := x.members[name]; known {
		return m.outstanding
	}
	return 0
}

// The states of an endpoint, as shown in views.
const (
	StateIn        = "in"
	StateSilent    = "silent"
	StateDraining  = "draining"
	StateDomainOut = "domain_out"
	StateEjected   = "ejected"
	StateProbing   = "probing"
	StateRamping   = "ramping"
)

// State returns the state of an endpoint as of the last call that carried a
// time, and an empty string for an unknown endpoint. Of several states, the one
// that an operator caused is shown first.
func (x *Index) State(name string) string {
	m, known := x.members[name]
	switch {
	case !known:
		return ""
	case m.blocks&BlockDomainOut != 0:
		return StateDomainOut
	case m.blocks&(BlockDraining|toldDraining) != 0:
		return StateDraining
	case m.blocks&BlockSilent != 0:
		return StateSilent
	case m.phase == phaseEjected:
		return StateEjected
	case m.phase == phaseProbing:
		return StateProbing
	case m.ramping:
		return StateRamping
	}
	return StateIn
}
