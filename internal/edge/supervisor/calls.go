package supervisor

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// renew returns the end of a lease that is renewed now, by the endpoint's clock, and
// notes that a call is sent that renews it, if it arrives. It returns zero if the
// lease must not be renewed.
func (s *State) renew() time.Duration {
	lease := s.Lease
	if s.Bound != nil {
		bound := s.Bound(s.untilLapsed()) - lapseMargin
		lease = min(lease, bound*100/(100+clockDrift))
	}
	if lease <= 0 {
		return 0
	}
	s.lapsesAt = s.now.Add(s.untilLapsed())
	return s.clock + s.now.Sub(s.clockAt) + lease
}

func (s *State) invoke(e Invoke) {
	if len(s.runs) == 0 {
		// There was nothing to ask for before.
		s.askedAt = s.now
	}
	r := &run{Run: e.Run, task: e.Task, orderedAt: s.now}
	s.runs[e.Run] = r
	if !s.clean || s.clockAt.IsZero() {
		s.end(r, messenger.TaskOutcome{State: messenger.TaskNotRun, Reason: "the endpoint is not being followed"})
		return
	}
	until := s.renew()
	if until == 0 {
		s.end(r, messenger.TaskOutcome{State: messenger.TaskNotRun, Reason: "the lease of the endpoint is left to lapse"})
		return
	}
	s.emit(CallStart{Start: Start{Boot: s.Boot, Run: e.Run, Payload: e.Payload, Until: until, Token: s.Token}})
}

func (s *State) startAnswered(e StartAnswered) {
	r := s.runs[e.Run]
	if r == nil {
		return
	}
	if e.NoAnswer {
		s.lostAt = s.now
	}
	switch {
	case e.NoAnswer && r.phase == ordered:
		r.phase = doubted
		r.doubtedAt = s.now
		s.emit(Noted{Message: "start got no answer", Run: r.Run})
		s.look()
	case e.NoAnswer:
	case e.Refusal != "":
		if !r.seen {
			s.end(r, messenger.TaskOutcome{State: messenger.TaskNotRun, Reason: "the endpoint refused: " + string(e.Refusal)})
		}
	default:
		s.started(r)
	}
}

// started notes that the endpoint runs r.
func (s *State) started(r *run) {
	if !r.seen {
		r.seen = true
		r.startedAt = s.now
	}
	if r.phase == ordered || r.phase == doubted {
		r.phase = running
	}
}

// stop asks the endpoint to end a run, and to refuse it if it has not started.
func (s *State) stop(r *run) {
	if r.phase == stopping {
		return
	}
	r.phase = stopping
	s.sendStop(r)
}

func (s *State) sendStop(r *run) {
	r.stopAt = s.now
	r.stopSent = true
	s.emit(CallStop{Stop: Stop{Boot: s.Boot, Run: r.Run, Token: s.Token}})
}

func (s *State) stopAnswered(e StopAnswered) {
	r := s.runs[e.Run]
	if r == nil {
		return
	}
	r.stopSent = false
	if e.NoAnswer || e.Refusal != "" {
		return
	}
	r.stoppedAt = s.now
	s.look()
}

// raiseToken answers an endpoint that has seen a higher token. Only holds raise it:
// they are always on their way, and older orders may well be refused.
func (s *State) raiseToken(refusal Refusal) {
	if refusal == RefusedFence {
		s.Token += tokenStep
		s.emit(Noted{Message: "token raised", Reason: string(refusal)})
	}
}

// look asks for the lists without waiting for an end.
func (s *State) look() {
	s.hold(0)
}

// keepHolding keeps one hold on its way, which waits for the next end. While runs
// are at the endpoint it asks again after a while: the answer may be lost, and ends
// that are known late keep room from other tasks.
func (s *State) keepHolding() {
	if s.Boot.Address == "" {
		return
	}
	if s.waiting == 0 && !s.now.Before(s.nextHold) {
		s.hold(holdWait)
		s.waiting = s.calls
	}
	if len(s.runs) == 0 {
		return
	}
	if s.now.Sub(s.askedAt) >= s.lookInterval() && len(s.holds) < maxHolds {
		s.look()
	}
	s.wake(s.lookInterval())
}

func (s *State) lookInterval() time.Duration {
	if !s.lostAt.IsZero() && s.now.Sub(s.lostAt) < lossyFor {
		return lossyLookAfter
	}
	return lookAfter
}

// wake asks for a Tick unless one is on its way that comes soon enough.
func (s *State) wake(after time.Duration) {
	at := s.now.Add(after)
	if s.wakeAt.After(s.now) && !s.wakeAt.After(at) {
		return
	}
	s.wakeAt = at
	s.emit(Wake{After: after})
}

func (s *State) hold(wait time.Duration) {
	s.calls++
	s.holds[s.calls] = s.now
	s.askedAt = s.now
	h := Hold{Boot: s.Boot, Token: s.Token, Observed: s.observed, Wait: wait}
	// The lease of an endpoint that does not answer is left to lapse, so that it
	// does so at a known time; so is that of one where runs of a former life of this
	// process, whose owners are unknown, have not been stopped.
	if !s.clockAt.IsZero() && s.missed == 0 && s.followed {
		h.Until = s.renew()
	}
	if s.clockAt.IsZero() || s.missed > 0 {
		h.Wait = 0
	}
	s.emit(CallHold{Call: s.calls, Hold: h})
}
