package placer

import "time"

// suspicion is the judgement of the endpoint by its agent, as last reported. A suspect
// member is out of use like an ejected one, under the same limits, until its agent reports
// that it is trusted.
type suspicion struct {
	suspect bool
	// probeOffered is true while this entry may place one task at the suspect endpoint.
	probeOffered bool
}

// Suspicion is how an index treats the agent's judgement of an endpoint.
type Suspicion int

// The values of Suspicion.
const (
	// SuspicionNone: the agent trusts the endpoint.
	SuspicionNone Suspicion = iota
	// SuspicionOut: the endpoint is suspect and gets probes only.
	SuspicionOut
	// SuspicionInUse: the endpoint is suspect, and is used because of the limits on
	// ejections.
	SuspicionInUse
)

// Suspicion returns how the endpoint is treated.
func (x *Index) Suspicion(name string) Suspicion {
	m, known := x.members[name]
	switch {
	case !known || !m.suspect:
		return SuspicionNone
	case m.phase == phaseIn:
		return SuspicionInUse
	}
	return SuspicionOut
}

// setSuspicion applies the judgement that the agent reports.
func (x *Index) setSuspicion(now time.Time, m *member, suspect, probeOffered bool) {
	was := m.suspect
	if !was && !suspect {
		return
	}
	m.suspect, m.probeOffered = suspect, suspect && probeOffered
	switch {
	case !suspect:
		m.pool.suspects--
		x.trust(now, m)
		return
	case !was:
		m.pool.suspects++
		x.ejectSuspect(now, m)
	}
	x.updateProbe(m)
	x.refresh(m)
}

// trust readmits a member whose agent trusts the endpoint again.
func (x *Index) trust(now time.Time, m *member) {
	m.consecutiveFailures = 0
	if m.phase != phaseIn {
		x.readmit(now, m)
	}
	x.refresh(m)
}

// ejectSuspect takes a suspect member out of use if the limits on ejections allow it. The
// ejection has no timer: it lasts until the agent trusts the endpoint.
func (x *Index) ejectSuspect(now time.Time, m *member) {
	if m.phase == phaseIn {
		if !m.mayEject() || !m.transition(eventEject) {
			return
		}
		m.ejectedUntil = now
		m.probeSent = false
	}
	// The timer of a ramp-up or of an earlier ejection must not fire.
	m.ramping = false
	m.timerID++
	x.refresh(m)
}

// ejectSuspects takes the suspect members out of use that the limits now allow.
func (x *Index) ejectSuspects(now time.Time, p *pool) {
	if p.suspects == 0 {
		return
	}
	for _, m := range p.members {
		if m.suspect && m.phase == phaseIn {
			x.ejectSuspect(now, m)
			x.updateProbe(m)
			x.refresh(m)
		}
	}
}

// updateProbe lets a suspect member that is out of use get one task if a probe is offered.
func (x *Index) updateProbe(m *member) {
	switch {
	case m.phase == phaseEjected && m.probeOffered:
		x.probe(m)
	case m.phase == phaseProbing && !m.probeOffered && m.transition(eventEject):
		m.probeSent = false
	}
}

// readmittedBefore reports whether a member is readmitted before another one.
func (m *member) readmittedBefore(other *member) bool {
	if m.suspect != other.suspect {
		return other.suspect
	}
	return m.ejectedUntil.Before(other.ejectedUntil)
}

// failures returns the number of failures in the cost of a member.
func (m *member) failures() int {
	if m.suspect {
		return max(m.consecutiveFailures, m.SuspectAfter, 1)
	}
	return m.consecutiveFailures
}
