package coordinator

import "github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"

// drainRequested starts the graceful stop. Admitted jobs go on, so that a
// planned stop fails none of them.
func (s *State) drainRequested() {
	if step(s.lifeCycle, eventDrain) {
		s.drainDeadline = s.now.Add(s.Config.DrainPatience)
		s.admitUntil = s.now.Add(s.Config.DrainLinger)
	}
}

// lingers tells whether a draining entry still admits volatile submissions:
// callers go on using their open connections for a while.
func (s *State) lingers() bool {
	return s.lifeCycle.Is(entryDraining) && s.now.Before(s.admitUntil)
}

// endsBeforeStop tells whether a draining entry still admits a volatile job: for as long
// as callers come over connections that they have open, and after that what is surely
// answered before the end. Its callers may have nowhere else to go.
func (s *State) endsBeforeStop(j *job) bool {
	if s.lingers() {
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
		s.endDrain()
	}
	if !s.busy() && !s.lingers() {
		step(s.lifeCycle, eventStop)
		s.emit(ReleaseLease{})
		s.emit(Drained{})
	}
}

// busy tells whether a caller still waits for an answer that this entry owes.
func (s *State) busy() bool {
	for _, j := range s.jobs {
		if !j.told && j.unrecorded == "" {
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

// endDrain stops what did not end in time: waiting tasks never run, sent tasks
// are asked back, and waiters for other owners are told that nothing is known.
func (s *State) endDrain() {
	for _, j := range s.sortedJobs(func(messenger.SubmissionKey) bool { return true }) {
		if j.lifeCycle.Is(jobRunning) && j.submission.Volatile {
			s.giveUp(j, "the entry stops")
		}
		if j.lifeCycle.Is(jobRunning) && j.stopReason == "" {
			s.stop(j, "the entry stops")
			s.cancelSent(j)
		}
	}
	for _, r := range s.sortedRemotes() {
		s.refuseWaiters(r)
	}
}
