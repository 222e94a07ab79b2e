package placer

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// member is an endpoint with its state in the index.
type member struct {
	Endpoint
	pool   *pool
	domain *domain
	seats  []seat

	// outstanding is the number of this entry's tasks at the endpoint, others that of
	// other entries' tasks.
	outstanding int
	others      int
	// taken are the resources that this entry's tasks use, othersTake those that
	// other entries' tasks use.
	taken, othersTake messenger.Resources
	// changed is when a task of this entry was last sent or returned.
	changed time.Time

	blocks   BlockReason
	ramping  bool
	rampFrom time.Time
	// allowed is the number of slots that the ramp-up permits at present.
	allowed int
	// timer is the id of the member's valid timer. Timers with another id are stale
	// and ignored.
	timer uint64

	ejection
	speed
	// factor is the run time relative to the mean of the service: exp(slowness).
	factor float64

	// unblocked, open and free are the values that the counts and free lists of the
	// domain and the classes currently reflect.
	unblocked, open, free bool
}

// seat is the membership of a member in one class.
type seat struct {
	class *class
	// at is the index in the class's free list, or -1.
	at int
}

func (m *member) used() int { return m.outstanding + m.others }

// room returns the part of the capacity that no task uses.
func (m *member) room() messenger.Resources {
	return m.Capacity.Sub(m.taken).Sub(m.othersTake)
}

// isFull reports whether, by the load known here, no task of any size fits.
func (m *member) isFull() bool {
	if m.Capacity.IsZero() {
		return m.used() >= m.Slots
	}
	return m.room().MilliCPU <= 0
}

// takes reports whether, by the load known here, a task of the given size fits.
func (m *member) takes(size messenger.Resources) bool {
	return m.Capacity.IsZero() || size.FitsInto(m.room())
}

// places returns the number of tasks of the given size that, by the load known here,
// still fit.
func (m *member) places(size messenger.Resources) int {
	if m.Capacity.IsZero() {
		return m.Slots - m.used()
	}
	return m.room().MilliCPU / max(1, size.MilliCPU)
}

// crowd returns the fraction of the endpoint's slots or CPU capacity that is in use.
func (m *member) crowd() float64 {
	if m.Capacity.IsZero() {
		return float64(m.used()) / float64(m.Slots)
	}
	return 1 - float64(m.room().MilliCPU)/float64(max(1, m.Capacity.MilliCPU))
}

func (m *member) hasFreeSlot() bool {
	if m.blocks != 0 || m.phase == phaseEjected || m.isFull() {
		return false
	}
	if m.phase == phaseProbing {
		return !m.probeSent
	}
	return !m.ramping || m.used() < m.allowed
}

// refresh updates the counts and the free lists to the state of m.
func (x *Index) refresh(m *member) {
	m.setUnblocked(m.blocks == 0)
	m.setOpen(m.blocks == 0 && m.phase == phaseIn)
	m.setFree(m.hasFreeSlot())
}

func (m *member) setUnblocked(value bool) {
	if m.unblocked == value {
		return
	}
	m.unblocked = value
	delta := signed(value)
	m.domain.unblocked += delta
	for i := range m.seats {
		m.seats[i].class.unblocked += delta
	}
}

func (m *member) setOpen(value bool) {
	if m.open == value {
		return
	}
	m.open = value
	delta := signed(value)
	m.domain.open += delta
	for i := range m.seats {
		m.seats[i].class.open += delta
	}
}

func (m *member) setFree(value bool) {
	if m.free == value {
		return
	}
	m.free = value
	for i := range m.seats {
		if value {
			m.seats[i].class.addFree(m, i)
		} else {
			m.seats[i].class.removeFree(m, i)
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
	m.rampFrom = now
	m.ramping = true
	x.scheduleRamp(now, m)
}

// scheduleRamp sets the number of slots that the ramp-up permits at now, and a timer
// for the next slot.
func (x *Index) scheduleRamp(now time.Time, m *member) {
	steps := m.Slots - 1
	elapsed := now.Sub(m.rampFrom)
	if steps <= 0 || elapsed >= m.RampUp {
		m.ramping = false
		m.timer++
		return
	}
	done := int(float64(steps) * float64(elapsed) / float64(m.RampUp))
	m.allowed = 1 + done
	// The extra nanosecond makes sure that the step is complete when the timer fires.
	next := time.Duration(float64(m.RampUp)*float64(done+1)/float64(steps)) + 1
	x.schedule(m.rampFrom.Add(next), m)
}
