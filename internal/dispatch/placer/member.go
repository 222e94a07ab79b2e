package placer

import "time"

// member is an endpoint with everything the index knows about it.
type member struct {
	Endpoint
	pool   *pool
	domain *domain
	seats  []seat

	// outstanding are the tasks of this entry; others those of other entries.
	outstanding int
	others      int
	// changed is when a task was last sent or came back.
	changed time.Time

	blocks   Block
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

func (m *member) hasFreeSlot() bool {
	if m.blocks != 0 || m.phase == phaseEjected || m.used() >= m.Slots {
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
