package gatekeeper

import (
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// invoked handles the endpoint's answer. TaskNotRun means that the endpoint
// guarantees that it did not start the task.
func (s *State) invoked(e Invoked) {
	if e.Run > 0 {
		s.volatileEnded(e)
		return
	}
	r := s.records[e.Task]
	if r == nil || r.attempt != e.Attempt || r.state != messenger.RecordRunning {
		return
	}
	s.running--
	s.taken = s.taken.Sub(r.size)
	if e.Outcome.State == messenger.TaskNotRun {
		// The endpoint accepts no tasks at present. Treat its announcement as expired
		// until the next one.
		s.announcedAt = s.now.Add(-2 * announcementLifetime)
		s.refuseRecord(r, messenger.RefusedNoEndpoint)
	} else {
		s.finish(r, e)
		s.keepResult(r)
		s.startQueued()
		for _, to := range s.recipients(r) {
			s.sendFinished(to, r)
		}
	}
	s.checkDrained()
}

// finish records how a task that has run ended.
func (s *State) finish(r *record, e Invoked) {
	r.state = messenger.RecordFinished
	r.outcome = e.Outcome
	r.runTime = e.RunTime
	if e.Outcome.State == messenger.TaskSucceeded {
		s.pace.observe(e.RunTime, r.expected)
	}
	s.judge(r)
}

func (s *State) sendFinished(to messenger.Incarnation, r *record) {
	s.send(to, messenger.Finished{
		Task: r.task, Attempt: r.attempt, Outcome: r.outcome, RunTime: r.runTime, Load: s.shortLoad(to),
	})
}

// keepResult keeps the result for duplicates of the start and for takeovers, and
// drops the oldest results beyond maxResultBytes.
func (s *State) keepResult(r *record) {
	s.results = append(s.results, r)
	s.resultBytes += len(r.outcome.Result)
	for s.resultBytes > maxResultBytes {
		oldest := s.results[0]
		s.results = s.results[1:]
		s.resultBytes -= len(oldest.outcome.Result)
		oldest.outcome = messenger.TaskOutcome{
			State: messenger.TaskMayHaveRun, Reason: "the task ran; its result is no longer kept",
		}
	}
}

// cancel records a tombstone unless the task has started, and aborts a volatile run
// of the same owner.
func (s *State) cancel(from messenger.Incarnation, m messenger.Cancel) {
	r := s.records[m.Task]
	if r != nil && r.volatile && r.owner != from {
		s.cancelBesideOther(from, m, r)
		return
	}
	switch {
	case r == nil || (r.state == messenger.RecordTombstoned && m.Attempt > r.attempt):
		r = s.tombstoneCancelled(from, m, r)
	case m.Attempt < r.attempt:
		return
	case r.state == messenger.RecordQueued:
		s.dequeue(r)
		s.tombstone(r, true)
	}
	s.answerCancel(from, m, r.state)
	if r.volatile && r.owner == from && r.state == messenger.RecordRunning {
		s.abort(r, "cancelled by the owner")
	}
	if r.state == messenger.RecordFinished {
		s.sendFinished(from, r)
	}
}

// tombstoneCancelled records a tombstone for a cancelled attempt that has no record. Earlier
// is the record of the task, or nil.
func (s *State) tombstoneCancelled(from messenger.Incarnation, m messenger.Cancel, earlier *record) *record {
	proven := s.cancelProvesNeverStarted(from, m)
	r := &record{task: m.Task, attempt: m.Attempt, owner: from, volatile: m.Volatile}
	if earlier != nil {
		r.inherit(earlier)
	}
	s.tombstone(r, proven)
	s.storeRecord(r)
	return r
}

// cancelBesideOther handles a cancel of an attempt while the record of the task is the one
// of another owner, which stays as it is. The cancelled attempt is a run that has been
// superseded and whose end is still awaited, or it never starts from now on.
func (s *State) cancelBesideOther(from messenger.Incarnation, m messenger.Cancel, other *record) {
	key := attemptKey{from, m.Attempt}
	for _, r := range s.live {
		if r.task == m.Task && r.key() == key {
			s.answerCancel(from, m, messenger.RecordRunning)
			return
		}
	}
	s.refuseCopies(other, key, s.cancelProvesNeverStarted(from, m))
	s.answerCancel(from, m, messenger.RecordTombstoned)
}

func (s *State) answerCancel(to messenger.Incarnation, m messenger.Cancel, state messenger.RecordState) {
	proven := s.cancelProvesNeverStarted(to, m)
	if state == messenger.RecordTombstoned && !proven {
		s.emitDecision(Decision{
			Task: m.Task, Attempt: m.Attempt, Owner: to, Cancelled: true,
			Doubt: s.doubt(proven, m.ReportSequence, m.Volatile),
		})
	}
	s.send(to, messenger.Cancelled{
		Task: m.Task, Attempt: m.Attempt, State: state,
		NeverStarted: state == messenger.RecordTombstoned && proven,
	})
}

// cancelProvesNeverStarted reports whether it is certain that the attempt that an owner cancels
// has not started here.
func (s *State) cancelProvesNeverStarted(owner messenger.Incarnation, m messenger.Cancel) bool {
	return s.isUnstarted(m.Task, attemptKey{owner, m.Attempt}, m.ReportSequence, m.Volatile)
}

func (s *State) expire() {
	for len(s.expiring) > 0 && !s.expiring[0].at.After(s.now) {
		old := s.expiring[0]
		s.expiring = s.expiring[1:]
		s.expireRecord(old)
	}
	for owner, f := range s.fenced {
		if s.now.Sub(f.at) > fenceRetention {
			delete(s.fenced, owner)
		}
	}
	for key, w := range s.witnessed {
		if s.now.Sub(w.at) > s.recordRetention() {
			delete(s.witnessed, key)
		}
	}
	for len(s.results) > 0 && s.records[s.results[0].task] != s.results[0] {
		s.resultBytes -= len(s.results[0].outcome.Result)
		s.results = s.results[1:]
	}
}

func (s *State) expireRecord(old expiry) {
	r := s.records[old.task]
	switch {
	case r == nil || r.keepUntil.After(old.at):
		// A later attempt has renewed the record, which then has a later expiry.
	case r.state == messenger.RecordQueued || r.state == messenger.RecordRunning:
		s.storeRecord(r)
	default:
		s.forgotten.forget(r)
		delete(s.records, old.task)
	}
}
