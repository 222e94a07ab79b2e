package gatekeeper

import (
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// volatileRetention is how long records of volatile tasks are kept. A start older than
// StartFreshness (3 s) is refused, so later copies cannot start without a record. Whether they
// have started before is not known then.
const volatileRetention = 10 * time.Second

// startVolatile decides whether an attempt of a volatile task starts, is queued or is
// refused. A caller whose connection broke may submit the same job to another entry,
// so starts of one task may come from several owners. At most one run of a task exists
// at this agent at a time.
func (s *State) startVolatile(from messenger.Incarnation, m messenger.Start, known *record) {
	if known != nil && known.owner == m.Owner && m.Attempt <= known.attempt {
		if m.Attempt == known.attempt {
			s.repeatAnswer(from, known)
		}
		return
	}
	if known != nil && known.pastAttempt(attemptKey{m.Owner, m.Attempt}) != nil {
		s.refuse(from, m, messenger.RefusedTombstone, s.provesNeverStarted(m))
		return
	}
	if reason, refused := s.refusal(m); refused {
		s.refuseVolatile(from, m, reason)
		return
	}
	if s.ownerLapsed(m.Owner) || s.leaseOutlasts(m.Owner) {
		s.refuseVolatile(from, m, messenger.RefusedLeaseLost)
		return
	}
	r := s.newRecord(m)
	s.noteProbe(r)
	r.run = m.Attempt + 1
	if known != nil {
		r.run = max(r.run, known.run+1)
		s.supersede(r, known)
	}
	s.awaitLiveRun(r)
	if l := s.entries[from]; l != nil {
		// The entry already counts the task that it starts, so this start alone must not
		// trigger a load report to that entry.
		l.reportedLoad++
	}
	if r.predecessor == nil && s.fits(r.size) {
		s.invoke(r)
		return
	}
	s.enqueue(r)
}

// supersede ends the queued or running attempt that another owner has started for the
// same task.
func (s *State) supersede(r, known *record) {
	switch known.state {
	case messenger.RecordQueued:
		s.dequeue(known)
		s.refuseRecord(known, messenger.RefusedStarted)
	case messenger.RecordRunning:
		r.predecessor = known
		s.abort(known, "another owner has started the same task")
	case messenger.RecordFinished, messenger.RecordTombstoned:
	}
}

// refuseVolatile refuses a start and records a tombstone only if the task has no record
// yet. The record of an earlier run that has not ended must not be replaced.
func (s *State) refuseVolatile(to messenger.Incarnation, m messenger.Start, reason messenger.RefusalReason) {
	if s.records[m.Task] == nil {
		s.refuseWithTombstone(to, m, reason)
		return
	}
	// A copy of the start may arrive after the reason of the refusal has gone, when the owner
	// has placed the task elsewhere.
	proven := s.provesNeverStarted(m)
	s.refuseCopies(s.records[m.Task], attemptKey{m.Owner, m.Attempt}, proven)
	s.refuse(to, m, reason, proven)
}

// refuseCopies notes an attempt in the record of its task, so that it does not start. The
// record is kept for as long as a copy of the start may arrive.
func (s *State) refuseCopies(r *record, key attemptKey, proven bool) {
	r.notePast(key, proven)
	s.storeRecord(r)
}

// awaitLiveRun lets a new record wait for the end of a run of the same task. The record of
// that run may have been replaced by one that was queued behind it and has been refused.
func (s *State) awaitLiveRun(r *record) {
	for key, live := range s.live {
		if key.task != r.task || r.predecessor != nil && r.predecessor.run > live.run {
			continue
		}
		r.predecessor = live
		r.run = max(r.run, live.run+1)
		s.abort(live, "another attempt of the task has started")
	}
}

// abort emits an Abort for a running task unless one was already emitted.
func (s *State) abort(r *record, reason string) {
	if r.aborted || r.state != messenger.RecordRunning {
		return
	}
	r.aborted = true
	s.emit(Abort{Task: r.task, Run: r.run, Position: r.position, Reason: reason})
}

// volatileEnded handles the confirmed end of a run.
func (s *State) volatileEnded(e Invoked) {
	key := runKey{task: e.Task, run: e.Run}
	r := s.live[key]
	if r == nil {
		return
	}
	delete(s.live, key)
	s.running--
	s.taken = s.taken.Sub(r.size)
	s.releaseSuccessor(r)
	if e.Outcome.State == messenger.TaskNotRun {
		s.refuseRecord(r, messenger.RefusedByEndpoint)
	} else {
		s.finish(r, e)
		s.sendFinished(r.owner, r)
	}
	s.startQueued()
	s.checkDrained()
}

// releaseSuccessor lets a queued run start that waited for the end of r.
func (s *State) releaseSuccessor(r *record) {
	for _, q := range s.queue {
		if q.predecessor == r {
			q.predecessor = nil
		}
	}
}

// checkOwners ends the volatile tasks of entries whose lease has expired, since the
// caller of a lost entry may soon submit the job to another entry. It also ends
// running volatile tasks past their deadline.
func (s *State) checkOwners() {
	for _, r := range s.liveRecords() {
		switch {
		case s.ownerLapsed(r.owner):
			s.abort(r, "no contact with the owner within its lease")
		case !r.deadline.After(s.now):
			s.abort(r, "the deadline passed")
		}
	}
	for _, r := range slices.Clone(s.queue) {
		if r.volatile && s.ownerLapsed(r.owner) {
			s.dequeue(r)
			s.refuseRecord(r, messenger.RefusedLeaseLost)
		}
	}
	for owner, at := range s.newestEcho {
		if s.now.Sub(at) > fenceRetention {
			delete(s.newestEcho, owner)
		}
	}
}

// liveRecords returns the records of the volatile runs that have not ended, in a fixed
// order.
func (s *State) liveRecords() []*record {
	records := make([]*record, 0, len(s.live))
	for _, r := range s.live {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *record) int {
		return compareTasks(a.task, b.task)
	})
	return records
}

func compareTasks(a, b messenger.TaskKey) int {
	if a.Submission != b.Submission {
		if a.Submission.String() < b.Submission.String() {
			return -1
		}
		return 1
	}
	return a.Index - b.Index
}
