package placer

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// member is an endpoint with everything the index knows about it.
type member struct {
	Endpoint
	pool   *pool
	domain *domain
	seats  []seat

	// outstanding are the tasks of this entry; others those of other entries.
	outstanding int
	others      int
	// taken is the room of this entry's tasks, othersTake that of the others.
	taken, othersTake messenger.Resources
	// changed is when a task was last sent or came back.
	changed time.Time

	blocks   BlockReason
	ramping  bool
	rampFrom time.Time
	// allowed is the number of slots that the ramp-up permits.
	allowed int
	// timer identifies the one valid timer; older ones are ignored.
	timer uint64

	ejection
	speed
	// factor is the run time relative to the service's mean, exp(slowness).
	factor float64

	// unblocked, open and free are the values counted in pool, domain and classes.
	unblocked, open, free bool
}

// seat is the place of a member in one class.
type seat struct {
	class *class
	// at is the position in the class's free list, or -1.
	at int
}

func (m *member) used() int { return m.outstanding + m.others }

// room is what the endpoint's tasks leave of its capacity.
func (m *member) room() messenger.Resources {
	return m.Capacity.Sub(m.taken).Sub(m.othersTake)
}

// isFull tells whether no task at all is thought to find room.
func (m *member) isFull() bool {
	if m.Capacity.IsZero() {
		return m.used() >= m.Slots
	}
	return m.room().MilliCPU <= 0
}

// takes tells whether a task of the size is thought to find room.
func (m *member) takes(size messenger.Resources) bool {
	return m.Capacity.IsZero() || size.FitsInto(m.room())
}

// places is how many tasks of the size are thought to find room.
func (m *member) places(size messenger.Resources) int {
	if m.Capacity.IsZero() {
		return m.Slots - m.used()
	}
	return m.room().MilliCPU / max(1, size.MilliCPU)
}

// crowd is the share of the endpoint that is in use.
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

// refresh brings the counts and the free lists up to date with m.
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

// scheduleRamp sets the slots allowed at now and a timer for the next one.
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
