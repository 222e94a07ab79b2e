package placer

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// member is an endpoint with its state in the index.
type member struct {
	Endpoint
	pool        *pool
	domain      *domain
	memberships []membership

	// outstanding is the number of this entry's tasks at the endpoint, otherTasks that
	// of other entries' tasks.
	outstanding int
	otherTasks  int
	// taken are the resources that this entry's tasks use, takenByOthers those that
	// other entries' tasks use.
	taken, takenByOthers messenger.Resources
	// lastActivity is when a task of this entry was last sent or returned.
	lastActivity time.Time

	blocks    BlockReason
	ramping   bool
	rampStart time.Time
	// rampSlots is the number of slots that the ramp-up permits at present.
	rampSlots int
	// timerID is the id of the member's valid timer. Timers with another id are stale
	// and ignored.
	timerID uint64

	ejection
	suspicion
	speed
	// factor is the run time relative to the mean of the service: exp(slowness).
	factor float64

	// unblocked, eligible and free are the values that the counts and free lists of the
	// domain and the classes reflect at present. A member is eligible if it is neither
	// blocked nor ejected or probing.
	unblocked, eligible, free bool
}

// membership links a member to one class.
type membership struct {
	class *class
	// freeIndex is the index in the class's free list, or -1.
	freeIndex int
}

func (m *member) used() int { return m.outstanding + m.otherTasks }

// freeResources returns the part of the capacity that no task uses.
func (m *member) freeResources() messenger.Resources {
	return m.Capacity.Sub(m.taken).Sub(m.takenByOthers)
}

// isFull reports whether no task of any size fits, according to the known load.
func (m *member) isFull() bool {
	if m.Capacity.IsZero() {
		return m.used() >= m.Slots
	}
	return m.freeResources().MilliCPU <= 0
}

// hasRoomFor reports whether a task of the given size fits, according to the known load.
// If the endpoint has no capacity, only its slots count, which isFull checks.
func (m *member) hasRoomFor(size messenger.Resources) bool {
	return m.Capacity.IsZero() || size.FitsInto(m.freeResources())
}

// freeSlots returns the number of tasks of the given size that still fit, according to
// the known load.
func (m *member) freeSlots(size messenger.Resources) int {
	if m.Capacity.IsZero() {
		return m.Slots - m.used()
	}
	return m.freeResources().MilliCPU / max(1, size.MilliCPU)
}

// utilization returns the fraction of the endpoint's slots or CPU capacity that is in
// use.
func (m *member) utilization() float64 {
	if m.Capacity.IsZero() {
		return float64(m.used()) / float64(m.Slots)
	}
	return 1 - float64(m.freeResources().MilliCPU)/float64(max(1, m.Capacity.MilliCPU))
}

func (m *member) hasFreeSlot() bool {
	if m.blocks != 0 || m.phase == phaseEjected || m.isFull() {
		return false
	}
	if m.phase == phaseProbing {
		return !m.probeSent
	}
	return !m.ramping || m.used() < m.rampSlots
}

// refresh updates the counts and the free lists to the state of m.
func (x *Index) refresh(m *member) {
	m.setUnblocked(m.blocks == 0)
	m.setEligible(m.blocks == 0 && m.phase == phaseIn)
	m.setFree(m.hasFreeSlot())
}

func (m *member) setUnblocked(value bool) {
	if m.unblocked == value {
		return
	}
	m.unblocked = value
	delta := signed(value)
	m.domain.unblocked += delta
	for i := range m.memberships {
		m.memberships[i].class.unblocked += delta
	}
}

func (m *member) setEligible(value bool) {
	if m.eligible == value {
		return
	}
	m.eligible = value
	delta := signed(value)
	m.domain.eligible += delta
	for i := range m.memberships {
		m.memberships[i].class.eligible += delta
	}
}

func (m *member) setFree(value bool) {
	if m.free == value {
		return
	}
	m.free = value
	for i := range m.memberships {
		if value {
			m.memberships[i].class.addFree(m, i)
		} else {
			m.memberships[i].class.removeFree(m, i)
		}
	}
}

func signed(up bool) int {
	if up {
		return 1
	}
	return -1
}

func (x *Index) startRamp(now time.Time, m *member) {
	m.rampStart = now
	m.ramping = true
	x.scheduleRamp(now, m)
}

// scheduleRamp sets the number of slots that the ramp-up permits at now, and a timer
// for the next slot.
func (x *Index) scheduleRamp(now time.Time, m *member) {
	steps := m.Slots - 1
	elapsed := now.Sub(m.rampStart)
	if steps <= 0 || elapsed >= m.RampUp {
		m.ramping = false
		m.timerID++
		return
	}
	done := int(float64(steps) * float64(elapsed) / float64(m.RampUp))
	m.rampSlots = 1 + done
	// The extra nanosecond makes sure that the step is complete when the timer fires.
	next := time.Duration(float64(m.RampUp)*float64(done+1)/float64(steps)) + 1
	x.schedule(m.rampStart.Add(next), m)
}
