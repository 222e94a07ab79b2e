package supervisor

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// holdAnswered applies the lists of runs and ends in the answer to a hold.
func (s *State) holdAnswered(e HoldAnswered) {
	sentAt, known := s.holds[e.Call]
	if !known {
		// The hold was sent to an earlier boot.
		return
	}
	delete(s.holds, e.Call)
	waited := e.Call == s.waiting
	if waited {
		s.waiting = 0
	}
	if e.NoAnswer {
		s.lostAt = s.now
		s.noteSilence(sentAt)
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
		s.nextHold = s.now.Add(holdPause)
		return
	}
	if e.Lists.Born < s.Boot.Born {
		return
	}
	if s.Boot.Born != 0 && e.Lists.Born > s.Boot.Born {
		s.rebooted(e.Lists.Born)
	}
	s.Boot.Born = e.Lists.Born
	overtaken := sentAt.Before(s.answeredAt) && e.Lists.Clock < s.clock
	s.answeredAt = s.now
	s.missed = 0
	if overtaken {
		// A newer answer has already reported everything in this one.
		return
	}
	s.clock, s.clockAt = e.Lists.Clock, s.now
	if s.takeEnds(e.Lists.Ended) && !waited && s.holds[s.waiting].Before(sentAt) {
		// The waiting hold should have returned these ends, so its answer is presumed
		// lost.
		s.waiting = 0
	}
	s.takeRunning(e.Lists.Running)
	s.takeAbsent(e.Lists.Running, sentAt)
	s.becomeClean()
}

// noteSilence logs the first hold of a series that got no answer.
func (s *State) noteSilence(sentAt time.Time) {
	if s.missed == 0 {
		s.emit(Noted{Message: "endpoint did not answer a lease call", Age: s.now.Sub(sentAt)})
	}
}

// suspend reports the endpoint as unready after missedHolds holds in a row without an
// answer. Its runs are still tracked.
func (s *State) suspend() {
	if s.clean && s.missed >= missedHolds {
		s.clean = false
		s.emit(Unready{Reason: "the endpoint does not answer"})
	}
}

// takeEnds ends the runs that are listed as ended, and reports whether any of these ends
// is new.
func (s *State) takeEnds(ends []End) bool {
	news := false
	for _, end := range ends {
		if end.Number <= s.observed {
			continue
		}
		news = true
		s.observed = end.Number
		delete(s.strays, end.Run)
		if r := s.runs[end.Run]; r != nil {
			s.end(r, outcomeOf(end.Kind))
		}
	}
	return news
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

// takeRunning records which runs have started, and stops listed runs that this process
// has not ordered.
func (s *State) takeRunning(runs []Run) {
	for _, name := range runs {
		if r := s.runs[name]; r != nil {
			s.started(r)
			r.listed = true
			continue
		}
		if at, sent := s.strays[name]; sent && s.now.Sub(at) < repeatAfter {
			continue
		}
		s.strays[name] = s.now
		s.emit(Noted{Message: "stopping a run that this agent has not ordered", Run: name})
		s.emit(CallStop{Stop: Stop{Boot: s.Boot, Run: name, Token: s.Token}})
	}
}

// takeAbsent handles the runs that are not listed as running. Only a hold that was sent
// after the last call for a run was answered or timed out proves that the run is absent.
func (s *State) takeAbsent(running []Run, sentAt time.Time) {
	listed := make(map[Run]bool, len(running))
	for _, name := range running {
		listed[name] = true
	}
	for _, r := range s.sortedRuns() {
		if !listed[r.Run] {
			s.absent(r, sentAt)
		}
	}
}

// absent handles a run that an answer to a hold sent at sentAt does not list as running.
func (s *State) absent(r *run, sentAt time.Time) {
	switch r.phase {
	case ordered:
		if sentAt.Sub(r.orderedAt) >= startPatience {
			s.emit(Noted{Message: "start was not carried out in time; stopping the run", Run: r.Run, Age: s.now.Sub(r.orderedAt)})
			s.stop(r)
		}
	case doubted:
		if !sentAt.Before(r.doubtedAt) {
			s.stop(r)
		}
	case running:
		if sentAt.After(r.startedAt) {
			s.emit(Noted{Message: "run is listed neither as running nor as ended; stopping it", Run: r.Run})
			s.stop(r)
		}
	case stopping:
		if r.stoppedAt.IsZero() || sentAt.Before(r.stoppedAt) {
			return
		}
		outcome := messenger.TaskOutcome{State: messenger.TaskNotRun, Reason: "stopped before it started"}
		if r.seen {
			outcome = messenger.TaskOutcome{State: messenger.TaskInterrupted, Reason: "stopped"}
		}
		s.end(r, outcome)
	}
}

// becomeClean reports the endpoint as ready once no unknown run is left there.
func (s *State) becomeClean() {
	if s.clean || len(s.strays) > 0 {
		return
	}
	s.clean = true
	s.followed = true
	s.emit(Ready{Boot: s.Boot})
}
