package coordinator

import (
	"container/heap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// intentSettled continues the admission and the lookups that wait for a submission's
// rows.
func (s *State) intentSettled(e IntentSettled) {
	if !e.Failed {
		s.storeAnsweredAt = s.now
	}
	if j := s.jobs[e.Key]; j != nil && j.lifeCycle.Is(jobAdmitting) {
		s.admissionSettled(j, e)
	}
	lookups := s.lookups[e.Key]
	delete(s.lookups, e.Key)
	for _, l := range lookups {
		s.lookupSettled(l, e)
	}
}

// admissionSettled starts the job if the stored intent row names this incarnation. This
// is safe even if the row was written by an earlier, abandoned admission: a job stays in
// memory until its outcome row is stored, so an intent row of this incarnation without
// job and outcome never started a task.
func (s *State) admissionSettled(j *job, e IntentSettled) {
	switch {
	case e.Failed:
		s.dropAdmission(j, messenger.CodeOutcomeUnknown, e.failureReason())
	case e.Outcome != nil:
		s.removeJob(j)
		for _, w := range j.waiters {
			s.replyOutcome(w, *e.Outcome, j.submission.Digest)
		}
	case e.Row == nil:
		// This result belongs to an earlier read of the same id. The pending
		// CommitIntent always returns a row.
	case e.Row.Digest != j.submission.Digest:
		s.dropAdmission(j, messenger.CodeConflict, "the id is in use for another body")
	case e.Row.Owner == s.Config.Incarnation:
		s.startJob(j)
	default:
		s.removeJob(j)
		s.addRemote(*e.Row, &j.submission, j.waiters)
		if j.stopReason != "" {
			s.forwardAnsweredCancel(*e.Row)
		}
	}
}

// failureReason returns the reason why the rows could not be read or written.
func (e IntentSettled) failureReason() string {
	const consequence = "; this attempt started nothing, earlier attempts are unknown"
	if e.Refused != "" {
		return "the store does not take or give the row: " + e.Refused + consequence
	}
	return "the store gave no answer" + consequence
}

func (s *State) dropAdmission(j *job, code messenger.RefusalCode, reason string) {
	s.removeJob(j)
	for _, w := range j.waiters {
		s.replyRefusal(w, j.submission.Key, code, reason)
	}
}

func (s *State) removeJob(j *job) {
	delete(s.jobs, j.submission.Key)
}

// replyOutcome answers with an outcome, or with a conflict if the outcome belongs to
// another body under the same id.
func (s *State) replyOutcome(w waiter, outcome messenger.Outcome, digest string) {
	if digest != "" && outcome.Digest != "" && digest != outcome.Digest {
		s.replyConflict(w, outcome.Key)
		return
	}
	s.reply(w, OutcomeAnswer{Outcome: outcome})
}

// lookupSettled handles a lookup once the rows were read.
func (s *State) lookupSettled(l lookup, e IntentSettled) {
	key := l.submission.Key
	if j := s.jobs[key]; j != nil {
		s.lookupJob(l, j)
		return
	}
	switch {
	case e.Failed:
		s.replyRefusal(l.waiter, key, messenger.CodeOutcomeUnknown, e.failureReason())
	case e.Outcome != nil && l.cancel:
		s.reply(l.waiter, CancelAnswer{})
	case e.Outcome != nil:
		s.replyOutcome(l.waiter, *e.Outcome, l.submission.Digest)
	case e.Row == nil:
		s.lookupAbsent(l)
	case e.Row.Owner == s.Config.Incarnation:
		// This entry owns the submission, but it is neither live nor settled: its
		// admission was abandoned.
		s.lookupAbandoned(l)
	case !l.query && e.Row.Digest != l.submission.Digest:
		s.replyConflict(l.waiter, key)
	default:
		s.lookupForeign(l, *e.Row)
	}
}

func (s *State) lookupJob(l lookup, j *job) {
	switch {
	case l.cancel:
		s.reply(l.waiter, CancelAnswer{Cancelled: s.cancelJob(j)})
	case l.query:
		s.join(l.waiter, j)
	default:
		s.attach(l.waiter, j, l.submission.Digest)
	}
}

// lookupAbsent handles a lookup of a submission without an intent row. A submission with
// a ticket has no intent row even after its owner has started it.
func (s *State) lookupAbsent(l lookup) {
	owner, isTicket := TicketOwner(l.submission.Key.ID)
	if isTicket && owner != s.Config.Incarnation {
		row := IntentRow{
			Key:      l.submission.Key,
			Owner:    owner,
			Digest:   l.submission.Digest,
			Tasks:    len(l.submission.Tasks),
			Deadline: l.submission.Deadline,
		}
		s.lookupForeign(l, row)
		return
	}
	s.lookupAbandoned(l)
}

func (s *State) lookupAbandoned(l lookup) {
	if l.cancel {
		s.reply(l.waiter, CancelAnswer{})
		return
	}
	s.replyRefusal(l.waiter, l.submission.Key, l.refusal.Code, l.refusal.Reason)
}

func (s *State) lookupForeign(l lookup, row IntentRow) {
	if l.cancel {
		s.forwardCancel(l.waiter, row)
		return
	}
	var submission *messenger.Submission
	if !l.query {
		submission = &l.submission
	}
	if r := s.remotes[row.Key]; r != nil {
		s.joinRemote(l.waiter, r, l.submission.Digest)
		return
	}
	s.addRemote(row, submission, []waiter{l.waiter})
}

// startJob enqueues the tasks of an admitted job.
func (s *State) startJob(j *job) {
	transition(j.lifeCycle, eventAdmit)
	s.setPending(j, true)
	heap.Push(&s.deadlines, j)
	s.emit(Decision{Kind: DecisionAdmit, Submission: j.submission.Key, Reason: string(j.submission.Kind)})
	if j.submission.Repeatable && j.settings.HedgeAfter > 0 {
		s.hedgeable = append(s.hedgeable, j)
	}
	for i := range j.tasks {
		if !j.blocked(&j.tasks[i]) {
			s.enqueue(&j.tasks[i])
		}
	}
	if j.stopReason != "" {
		s.stop(j, j.stopReason)
	}
}
