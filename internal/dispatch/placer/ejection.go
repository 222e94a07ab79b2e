package placer

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

// maxEjectFor is the limit up to which the ejection time doubles.
const maxEjectFor = time.Minute

type phase int

const (
	phaseIn phase = iota
	phaseEjected
	phaseProbing
)

var phaseOf = map[string]phase{
	StateIn:      phaseIn,
	StateEjected: phaseEjected,
	StateProbing: phaseProbing,
}

const (
	eventEject   = "eject"
	eventProbe   = "probe"
	eventReadmit = "readmit"
)

// ejection is the failure state of a member. The life cycle is created at the first
// ejection, so that an endpoint that was never ejected has no cost from it.
type ejection struct {
	life  *fsm.FSM
	phase phase
	// streak is the number of consecutive failures.
	streak     int
	ejectedFor time.Duration
	until      time.Time
	probeSent  bool
}

func newLife() *fsm.FSM {
	return fsm.NewFSM(StateIn, fsm.Events{
		{Name: eventEject, Src: []string{StateIn, StateProbing}, Dst: StateEjected},
		{Name: eventProbe, Src: []string{StateEjected}, Dst: StateProbing},
		{Name: eventReadmit, Src: []string{StateEjected, StateProbing}, Dst: StateIn},
	}, nil)
}

// move applies an event of the life cycle and reports whether the present state
// permits it.
func (m *member) move(event string) bool {
	if m.life == nil {
		m.life = newLife()
	}
	if err := m.life.Event(context.Background(), event); err != nil {
		return false
	}
	before := m.phase
	m.phase = phaseOf[m.life.Current()]
	if before == phaseIn {
		m.pool.out++
	}
	if m.phase == phaseIn {
		m.pool.out--
	}
	return true
}

func (x *Index) succeeded(now time.Time, m *member) {
	m.streak = 0
	if m.phase != phaseIn {
		x.succeededWhileOut(now, m)
	}
}

// succeededWhileOut ends the ejection after a successful probe. It ignores the success
// of a task that was sent before the ejection.
func (x *Index) succeededWhileOut(now time.Time, m *member) {
	if m.phase == phaseProbing && m.probeSent {
		x.readmit(now, m)
	}
}

func (x *Index) failed(now time.Time, m *member) {
	m.streak++
	switch m.phase {
	case phaseEjected:
	case phaseProbing:
		if m.probeSent {
			x.eject(now, m)
		}
	case phaseIn:
		if m.EjectAfter > 0 && m.streak >= m.EjectAfter && m.mayEject() {
			x.eject(now, m)
		}
	}
}

// mayEject reports whether, without m, one endpoint of the failure domain stays open
// and at most half of the service's endpoints are ejected.
func (m *member) mayEject() bool {
	stay := m.domain.open
	if m.open {
		stay--
	}
	return stay >= 1 && 2*(m.pool.out+1) <= len(m.pool.members)
}

func (x *Index) eject(now time.Time, m *member) {
	if !m.move(eventEject) {
		return
	}
	m.ejectedFor = min(max(m.EjectFor, 2*m.ejectedFor), maxEjectFor)
	m.until = now.Add(m.ejectedFor)
	m.ramping = false
	m.probeSent = false
	x.ejections++
	x.schedule(m.until, m)
	x.refresh(m)
}

func (x *Index) probe(m *member) {
	if m.move(eventProbe) {
		m.probeSent = false
	}
}

func (x *Index) readmit(now time.Time, m *member) {
	if !m.move(eventReadmit) {
		return
	}
	m.ejectedFor = 0
	m.probeSent = false
	x.startRamp(now, m)
	x.refresh(m)
}

// releaseExcess readmits endpoints whose ejection is no longer allowed because
// another endpoint was blocked or removed. Their count of consecutive failures remains,
// so Choose still prefers other endpoints.
func (x *Index) releaseExcess(now time.Time, p *pool, d *domain) {
	if d.unblocked > 0 && d.open == 0 {
		inDomain := func(m *member) bool { return m.domain == d && m.unblocked }
		x.releaseFirst(now, p, inDomain)
	}
	for 2*p.out > len(p.members) {
		x.releaseFirst(now, p, func(*member) bool { return true })
	}
}

// releaseFirst readmits the matching member that would be probed first.
func (x *Index) releaseFirst(now time.Time, p *pool, match func(*member) bool) {
	var first *member
	for _, m := range p.members {
		if m.phase == phaseIn || !match(m) {
			continue
		}
		if first == nil || m.until.Before(first.until) {
			first = m
		}
	}
	if first != nil {
		x.readmit(now, first)
	}
}
