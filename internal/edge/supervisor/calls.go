package supervisor

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// renew returns the end, by the endpoint's clock, of a lease that is renewed now, or
// zero if the lease must not be renewed. It moves lapsesAt, since the call that carries
// the new end may reach the endpoint.
func (s *State) renew() time.Duration {
	lease := s.Lease
	if s.LeaseBound != nil {
		bound := s.LeaseBound(s.untilLapsed()) - lapseMargin
		lease = min(lease, bound*100/(100+clockDriftPercent))
	}
	if lease <= 0 {
		return 0
	}
	s.lapsesAt = s.now.Add(s.untilLapsed())
	return s.clock + s.now.Sub(s.clockReadAt) + lease
}

func (s *State) invoke(e Invoke) {
	if len(s.runs) == 0 {
		// The polling interval starts with the first run.
		s.lastHoldAt = s.now
	}
	r := &run{Run: e.Run, task: e.Task, orderedAt: s.now}
	s.runs[e.Run] = r
	if !s.reconciled || s.clockReadAt.IsZero() {
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
		s.lastUnansweredAt = s.now
	}
	switch {
	case e.NoAnswer && r.phase == ordered:
		r.phase = unanswered
		r.unansweredAt = s.now
		s.emit(LogMessage{Message: "endpoint did not answer a start; polling its runs", Run: r.Run})
		s.poll()
	case e.NoAnswer:
	case e.Refusal != "":
		if !r.startConfirmed {
			s.end(r, messenger.TaskOutcome{State: messenger.TaskNotRun, Reason: "the endpoint refused: " + string(e.Refusal)})
		}
	default:
		s.started(r)
	}
}

// started records that the endpoint has started r.
func (s *State) started(r *run) {
	if !r.startConfirmed {
		r.startConfirmed = true
		r.startedAt = s.now
	}
	if r.phase == ordered || r.phase == unanswered {
		r.phase = running
	}
}

// stop orders the endpoint to end a run, and to refuse its start if that has not been
// carried out yet.
func (s *State) stop(r *run) {
	if r.phase == stopping {
		return
	}
	r.phase = stopping
	s.sendStop(r)
}

func (s *State) sendStop(r *run) {
	r.stopSentAt = s.now
	r.stopPending = true
	s.emit(CallStop{Stop: Stop{Boot: s.Boot, Run: r.Run, Token: s.Token}})
}

func (s *State) stopAnswered(e StopAnswered) {
	r := s.runs[e.Run]
	if r == nil {
		return
	}
	r.stopPending = false
	if e.NoAnswer || e.Refusal != "" {
		return
	}
	r.stopAckedAt = s.now
	s.poll()
}

// raiseToken raises the token after a hold was refused because the endpoint has seen a
// higher one. Refused starts and stops don't raise it: a hold is always in flight, and
// it is fine that orders with an older token are refused.
func (s *State) raiseToken(refusal Refusal) {
	if refusal == RefusedFence {
		s.Token += tokenStep
		s.emit(LogMessage{Message: "endpoint refused the token; raised it", Reason: string(refusal)})
	}
}

// poll sends a hold that does not wait for an end.
func (s *State) poll() {
	s.hold(0)
}

// maintainHolds keeps one hold in flight that waits for the next end. While there are
// runs, it also polls the endpoint at intervals, because the answer of the waiting hold
// may be lost, and capacity is not reused until the end of a run is known.
func (s *State) maintainHolds() {
	if s.Boot.Address == "" {
		return
	}
	if s.waitingHold == 0 && !s.now.Before(s.nextHold) {
		s.hold(holdWait)
		s.waitingHold = s.calls
	}
	if len(s.runs) == 0 {
		return
	}
	if s.now.Sub(s.lastHoldAt) >= s.pollInterval() && len(s.holds) < maxHoldsInFlight {
		s.poll()
	}
	s.requestTick(s.pollInterval())
}

func (s *State) pollInterval() time.Duration {
	if !s.lastUnansweredAt.IsZero() && s.now.Sub(s.lastUnansweredAt) < lossyPeriod {
		return lossyPollInterval
	}
	return normalPollInterval
}

// requestTick requests a Tick unless a pending one comes early enough.
func (s *State) requestTick(after time.Duration) {
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
	s.lastHoldAt = s.now
	h := Hold{Boot: s.Boot, Token: s.Token, Observed: s.observed, Wait: wait}
	// The lease is not renewed while the endpoint does not answer, so that the time of
	// its expiry is known. It is not renewed either until the runs that an earlier
	// incarnation of this process ordered have been stopped, since their owners are
	// unknown.
	if !s.clockReadAt.IsZero() && s.missed == 0 && s.everReconciled {
		h.Until = s.renew()
	}
	if s.clockReadAt.IsZero() || s.missed > 0 {
		h.Wait = 0
	}
	s.emit(CallHold{Call: s.calls, Hold: h})
}
