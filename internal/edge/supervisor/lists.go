package supervisor

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// holdAnswered applies the lists of runs and ends in the answer to a hold.
func (s *State) holdAnswered(e HoldAnswered) {
	if p, probing := s.probes[e.Call]; probing {
		delete(s.probes, e.Call)
		s.probeAnswered(p, e)
		return
	}
	sentAt, known := s.holds[e.Call]
	if !known {
		// The hold was sent to an earlier boot.
		return
	}
	delete(s.holds, e.Call)
	waited := e.Call == s.waitingHold
	if waited {
		s.waitingHold = 0
	}
	if e.NoAnswer {
		s.lastUnansweredAt = s.now
		s.logMissedHold(sentAt)
		if sentAt.Before(s.answeredAt) {
			// Only this answer is lost: the endpoint has answered a hold since.
			return
		}
		// The endpoint may have restarted. Its next boot must refuse the orders that
		// were sent before.
		s.Token++
		s.missed++
		s.suspend()
	}
	if e.NoAnswer || e.Refusal != "" {
		s.raiseToken(e.Refusal)
		s.nextHold = s.now.Add(holdRetryDelay)
		return
	}
	if e.Lists.Born < s.Boot.Born {
		return
	}
	if s.Boot.Born != 0 && e.Lists.Born > s.Boot.Born {
		s.rebooted(e.Lists.Born)
	}
	s.Boot.Born = e.Lists.Born
	s.confirmProbes()
	overtaken := sentAt.Before(s.answeredAt) && e.Lists.Clock < s.clock
	s.answeredAt = s.now
	s.missed = 0
	if overtaken {
		// A newer answer has already reported everything in this one.
		return
	}
	s.clock, s.clockReadAt = e.Lists.Clock, s.now
	if s.applyEnds(e.Lists.Ended) && !waited && s.holds[s.waitingHold].Before(sentAt) {
		// The waiting hold should have returned these ends, so its answer is presumed
		// lost.
		s.waitingHold = 0
	}
	s.applyRunning(e.Lists.Running)
	s.handleAbsent(e.Lists.Running, sentAt)
	s.markReconciled()
}

// logMissedHold logs the first hold of a series that got no answer.
func (s *State) logMissedHold(sentAt time.Time) {
	if s.missed == 0 {
		s.emit(LogMessage{Message: "endpoint did not answer a lease call", Age: s.now.Sub(sentAt)})
	}
}

// suspend reports the endpoint as unready after maxMissedHolds holds in a row without
// an answer. Its runs are still tracked.
func (s *State) suspend() {
	if s.reconciled && s.missed >= maxMissedHolds {
		s.reconciled = false
		s.emit(Unready{Reason: "the endpoint does not answer"})
	}
}

// applyEnds ends the runs that are listed as ended, and reports whether any of these
// ends is new.
func (s *State) applyEnds(ends []End) bool {
	isNew := false
	for _, end := range ends {
		if end.Number <= s.observed {
			continue
		}
		isNew = true
		s.observed = end.Number
		delete(s.orphans, end.Run)
		if r := s.runs[end.Run]; r != nil {
			s.end(r, outcomeOf(end.Kind))
		}
	}
	return isNew
}

func outcomeOf(kind EndKind) messenger.TaskOutcome {
	switch kind {
	case EndDone:
		return messenger.TaskOutcome{State: messenger.TaskSucceeded}
	case EndFailed:
		return messenger.TaskOutcome{State: messenger.TaskFailed, Reason: "the endpoint reports a failure"}
	case EndStopped, EndLapsed, EndOther:
	}
	return messenger.TaskOutcome{State: messenger.TaskInterrupted, Reason: "the run ended: " + string(kind)}
}

// applyRunning records which runs have started, and stops listed runs that this
// incarnation of the agent has not ordered or has already ended.
func (s *State) applyRunning(runs []Run) {
	for _, name := range runs {
		if r := s.runs[name]; r != nil {
			s.started(r)
			r.listed = true
			continue
		}
		if at, sent := s.orphans[name]; sent && s.now.Sub(at) < stopRetryInterval {
			continue
		}
		s.orphans[name] = s.now
		s.emit(LogMessage{Message: "stopping a run that this incarnation of the agent has not ordered or has already ended", Run: name})
		s.emit(CallStop{Stop: Stop{Boot: s.Boot, Run: name, Token: s.Token}})
	}
}

// handleAbsent handles the runs that are not listed as running. The absence of a run
// counts only if the hold was sent after the last call for the run was answered or timed
// out, or at least startGracePeriod after a start whose answer is still pending.
func (s *State) handleAbsent(running []Run, sentAt time.Time) {
	listed := make(map[Run]bool, len(running))
	for _, name := range running {
		listed[name] = true
	}
	for _, r := range s.sortedRuns() {
		if !listed[r.Run] {
			s.handleAbsentRun(r, sentAt)
		}
	}
}

// handleAbsentRun handles a run that is not listed as running in the answer to a hold
// that was sent at sentAt.
func (s *State) handleAbsentRun(r *run, sentAt time.Time) {
	switch r.phase {
	case ordered:
		if sentAt.Sub(r.orderedAt) >= startGracePeriod {
			s.emit(LogMessage{Message: "start was not carried out in time; stopping the run", Run: r.Run, Age: s.now.Sub(r.orderedAt)})
			s.stop(r)
		}
	case unanswered:
		if !sentAt.Before(r.unansweredAt) {
			s.stop(r)
		}
	case running:
		if sentAt.After(r.startedAt) {
			s.emit(LogMessage{Message: "run is listed neither as running nor as ended; stopping it", Run: r.Run})
			s.stop(r)
		}
	case stopping:
		if r.stopAckedAt.IsZero() || sentAt.Before(r.stopAckedAt) {
			return
		}
		// Neither the acknowledged stop nor the list shows that the run has never started: an
		// earlier boot may have started it, and a late start may reach the next boot.
		outcome := messenger.TaskOutcome{State: messenger.TaskMayHaveRun, Reason: "stopped; the endpoint has not confirmed the start"}
		if r.startConfirmed {
			outcome = messenger.TaskOutcome{State: messenger.TaskInterrupted, Reason: "stopped"}
		}
		s.end(r, outcome)
	}
}

// markReconciled reports the endpoint as ready once no unknown run is left there.
func (s *State) markReconciled() {
	if s.reconciled || len(s.orphans) > 0 {
		return
	}
	s.reconciled = true
	s.everReconciled = true
	s.emit(Ready{Boot: s.Boot})
}
