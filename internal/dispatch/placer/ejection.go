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
	lifeCycle           *fsm.FSM
	phase               phase
	consecutiveFailures int
	ejectionTime        time.Duration
	ejectedUntil        time.Time
	probeSent           bool
}

func newLifeCycle() *fsm.FSM {
	return fsm.NewFSM(StateIn, fsm.Events{
		{Name: eventEject, Src: []string{StateIn, StateProbing}, Dst: StateEjected},
		{Name: eventProbe, Src: []string{StateEjected}, Dst: StateProbing},
		{Name: eventReadmit, Src: []string{StateEjected, StateProbing}, Dst: StateIn},
	}, nil)
}

// transition applies an event of the life cycle and reports whether the present state
// permits it.
func (m *member) transition(event string) bool {
	if m.lifeCycle == nil {
		m.lifeCycle = newLifeCycle()
	}
	if err := m.lifeCycle.Event(context.Background(), event); err != nil {
		return false
	}
	before := m.phase
	m.phase = phaseOf[m.lifeCycle.Current()]
	if before == phaseIn {
		m.pool.ejected++
	}
	if m.phase == phaseIn {
		m.pool.ejected--
	}
	return true
}

func (x *Index) succeeded(now time.Time, m *member) {
	m.consecutiveFailures = 0
	if m.suspect {
		// The agent decides.
		m.probeSent = false
		return
	}
	if m.phase != phaseIn {
		x.succeededWhileEjected(now, m)
	}
}

// succeededWhileEjected ends the ejection after a successful probe. It ignores the
// success of a task that was sent before the ejection.
func (x *Index) succeededWhileEjected(now time.Time, m *member) {
	if m.phase == phaseProbing && m.probeSent {
		x.readmit(now, m)
	}
}

func (x *Index) failed(now time.Time, m *member) {
	m.consecutiveFailures++
	if m.suspect {
		// The agent decides.
		m.probeSent = false
		return
	}
	switch m.phase {
	case phaseEjected:
	case phaseProbing:
		if m.probeSent {
			x.eject(now, m)
		}
	case phaseIn:
		if m.EjectAfter > 0 && m.consecutiveFailures >= m.EjectAfter && m.mayEject() {
			x.eject(now, m)
		}
	}
}

// mayEject reports whether, if m is ejected, the failure domain keeps an eligible
// endpoint and at most half of the service's endpoints are ejected.
func (m *member) mayEject() bool {
	remaining := m.domain.eligible
	if m.eligible {
		remaining--
	}
	return remaining >= 1 && 2*(m.pool.ejected+1) <= len(m.pool.members)
}

func (x *Index) eject(now time.Time, m *member) {
	if !m.transition(eventEject) {
		return
	}
	m.ejectionTime = min(max(m.EjectFor, 2*m.ejectionTime), maxEjectFor)
	m.ejectedUntil = now.Add(m.ejectionTime)
	m.ramping = false
	m.probeSent = false
	x.ejections++
	x.schedule(m.ejectedUntil, m)
	x.refresh(m)
}

func (x *Index) probe(m *member) {
	if m.transition(eventProbe) {
		m.probeSent = false
	}
}

func (x *Index) readmit(now time.Time, m *member) {
	if !m.transition(eventReadmit) {
		return
	}
	m.ejectionTime = 0
	m.probeSent = false
	x.startRamp(now, m)
	x.refresh(m)
	x.ejectSuspects(now, m.pool)
}

// readmitExcess readmits endpoints whose ejection is no longer allowed because
// another endpoint was blocked or removed. Their count of consecutive failures remains,
// so Choose still prefers other endpoints.
func (x *Index) readmitExcess(now time.Time, p *pool, d *domain) {
	if d.unblocked > 0 && d.eligible == 0 {
		inDomain := func(m *member) bool { return m.domain == d && m.unblocked }
		x.readmitFirst(now, p, inDomain)
	}
	for 2*p.ejected > len(p.members) {
		x.readmitFirst(now, p, func(*member) bool { return true })
	}
}

// readmitFirst readmits the matching member that would be probed first. Members that are not
// suspect are preferred.
func (x *Index) readmitFirst(now time.Time, p *pool, match func(*member) bool) {
	var first *member
	for _, m := range p.members {
		if m.phase == phaseIn || !match(m) {
			continue
		}
		if first == nil || m.readmittedBefore(first) {
			first = m
		}
	}
	if first != nil {
		x.readmit(now, first)
	}
}
