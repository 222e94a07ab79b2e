package coordinator

import "github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"

// drainRequested starts a graceful stop. Admitted jobs continue, so that a planned stop
// does not fail them.
func (s *State) drainRequested() {
	if transition(s.lifeCycle, eventDrain) {
		s.drainDeadline = s.now.Add(s.Config.DrainTimeout)
		s.admitUntil = s.now.Add(s.Config.DrainGracePeriod)
	}
}

// inDrainGracePeriod reports whether the grace period of a draining entry is running,
// in which it admits volatile submissions because callers keep using their open
// connections.
func (s *State) inDrainGracePeriod() bool {
	return s.lifeCycle.Is(entryDraining) && s.now.Before(s.admitUntil)
}

// admitsWhileDraining reports whether a draining entry still admits a volatile job: any
// job in the grace period, and after it a job that is certain to be answered before the
// drain timeout. Its callers may have no other entry to send the job to.
func (s *State) admitsWhileDraining(j *job) bool {
	if s.inDrainGracePeriod() {
		return true
	}
	latest := s.now.Add(tooLateFactor * j.objective.latency)
	return j.objective.latency > 0 && latest.Before(s.drainDeadline)
}

func (s *State) drainTick() {
	if !s.lifeCycle.Is(entryDraining) {
		return
	}
	if !s.now.Before(s.drainDeadline) {
		s.stopRemainingJobs()
	}
	if !s.hasUnansweredCalls() && !s.inDrainGracePeriod() {
		transition(s.lifeCycle, eventStop)
		s.emit(ReleaseLease{})
		s.emit(Drained{})
	}
}

// hasUnansweredCalls reports whether the entry still owes an answer: to a job, a call
// about another owner's submission, a cancel or a lookup.
func (s *State) hasUnansweredCalls() bool {
	for _, j := range s.jobs {
		if !j.answered && j.unrecordedReason == "" {
			return true
		}
	}
	for _, r := range s.remotes {
		if len(r.waiters) > 0 {
			return true
		}
	}
	for _, c := range s.calls {
		if c.cancel != nil && !c.cancel.answered {
			return true
		}
	}
	return len(s.lookups) > 0
}

// stopRemainingJobs stops the jobs that did not end within the drain timeout: waiting
// tasks never start, sent attempts are cancelled, and calls about submissions of other
// owners are refused with "outcome unknown".
func (s *State) stopRemainingJobs() {
	for _, j := range s.sortedJobs(func(messenger.SubmissionKey) bool { return true }) {
		if j.lifeCycle.Is(jobRunning) && j.submission.Volatile {
			s.giveUp(j, "the entry stops")
		}
		if j.lifeCycle.Is(jobRunning) && j.stopReason == "" {
			s.stop(j, "the entry stops")
			s.cancelAttempts(j)
		}
	}
	for _, r := range s.sortedRemotes() {
		s.refuseWaiters(r)
	}
}
