package coordinator

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/placer"
)

const reasonCancelled = "cancelled by a caller"

// cancelTimeout bounds the wait for the other entries' answers to a cancel.
const cancelTimeout = 2 * time.Second

// cancelCall collects the answers of other entries to one cancel.
type cancelCall struct {
	waiter waiter
	// key is set for a cancel of one volatile submission.
	key       messenger.SubmissionKey
	pending   int
	cancelled int
	answered  bool
	startedAt time.Time
	// incomplete is true if an entry that may have the submission could not be asked.
	incomplete bool
}

func (s *State) cancelRequested(w waiter, e CancelRequested) {
	j := s.jobs[e.Key]
	switch {
	case e.Prefix:
		s.cancelPrefix(w, e.Key)
	case j != nil:
		s.reply(w, CancelAnswer{Cancelled: s.cancelJob(j)})
	case e.Volatile:
		s.cancelElsewhere(w, e.Key)
	default:
		s.readRows(e.Key, lookup{waiter: w, submission: messenger.Submission{Key: e.Key}, query: true, cancel: true})
	}
}

// cancelElsewhere cancels a volatile submission that is not at this entry. No row names its
// owner, so all linked entries are asked.
func (s *State) cancelElsewhere(w waiter, key messenger.SubmissionKey) {
	call := &cancelCall{waiter: w, key: key, startedAt: s.now}
	if w.peer == "" {
		call.incomplete = slices.ContainsFunc(s.otherEntries(), func(e messenger.Incarnation) bool { return !s.reachable(e) })
		s.broadcastCancel(call, messenger.Forward{Submission: messenger.Submission{Key: key, Volatile: true}})
	}
	s.answerCancel(call)
}

func (s *State) cancelPrefix(w waiter, key messenger.SubmissionKey) {
	call := &cancelCall{waiter: w, startedAt: s.now}
	for _, j := range s.jobsWithPrefix(key) {
		call.cancelled += s.cancelJob(j)
	}
	if w.peer == "" {
		s.broadcastCancel(call, messenger.Forward{Submission: messenger.Submission{Key: key}, Prefix: true})
	}
	s.answerCancel(call)
}

func (s *State) jobsWithPrefix(key messenger.SubmissionKey) []*job {
	return s.sortedJobs(func(k messenger.SubmissionKey) bool {
		return k.Firm == key.Firm && k.Service == key.Service && strings.HasPrefix(k.ID, key.ID)
	})
}

// sortedJobs returns the jobs whose key matches, in order of arrival.
func (s *State) sortedJobs(match func(messenger.SubmissionKey) bool) []*job {
	var matching []*job
	for k, j := range s.jobs {
		if match(k) {
			matching = append(matching, j)
		}
	}
	slices.SortFunc(matching, func(a, b *job) int { return int(a.arrival) - int(b.arrival) })
	return matching
}

// broadcastCancel asks all reachable entries to cancel the submissions that m names.
func (s *State) broadcastCancel(call *cancelCall, m messenger.Forward) {
	m.Cancel = true
	for _, p := range s.sortedPeers() {
		if !s.reachable(p.incarnation) {
			continue
		}
		call.pending++
		m.Call = s.newCall(forwardCall{key: m.Submission.Key, cancel: call})
		s.send(p.incarnation, m)
	}
}

// forwardCancel forwards a cancel to the owner of the submission.
func (s *State) forwardCancel(w waiter, row IntentRow) {
	if !s.reachable(row.Owner) {
		s.replyRefusal(w, row.Key, messenger.CodeOutcomeUnknown, "the owner of the submission cannot be reached")
		return
	}
	call := &cancelCall{waiter: w, pending: 1, startedAt: s.now}
	s.send(row.Owner, messenger.Forward{
		Call:       s.newCall(forwardCall{key: row.Key, cancel: call}),
		Submission: messenger.Submission{Key: row.Key},
		Cancel:     true,
	})
}

// forwardAnsweredCancel forwards a cancel that this entry answered during the admission
// of a submission which, by its intent row, belongs to another entry. If that owner
// cannot be reached, its takeover ends the submission.
func (s *State) forwardAnsweredCancel(row IntentRow) {
	if !s.reachable(row.Owner) {
		return
	}
	call := &cancelCall{answered: true, startedAt: s.now}
	s.send(row.Owner, messenger.Forward{
		Call:       s.newCall(forwardCall{key: row.Key, cancel: call}),
		Submission: messenger.Submission{Key: row.Key},
		Cancel:     true,
	})
}

func (s *State) cancelAnswered(call *cancelCall, cancelled int) {
	call.pending--
	call.cancelled += cancelled
	s.answerCancel(call)
}

func (s *State) answerCancel(call *cancelCall) {
	if call.pending > 0 || call.answered {
		return
	}
	call.answered = true
	if call.incomplete && call.cancelled == 0 {
		s.replyRefusal(call.waiter, call.key, messenger.CodeOutcomeUnknown, "not every entry could be asked")
		return
	}
	s.reply(call.waiter, CancelAnswer{Cancelled: call.cancelled})
}

// expireCancels ends the cancels that other entries have not answered in time. The
// caller is refused with "outcome unknown".
func (s *State) expireCancels() {
	var ids []uint64
	for id, call := range s.calls {
		if call.cancel != nil && s.now.Sub(call.cancel.startedAt) > cancelTimeout {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		call := s.calls[id]
		delete(s.calls, id)
		if call.cancel.answered {
			continue
		}
		call.cancel.answered = true
		s.replyRefusal(call.cancel.waiter, call.key, messenger.CodeOutcomeUnknown,
			"another entry did not answer; some submissions may not have been cancelled")
	}
}

// cancelJob stops a job. It returns 1 if the job was being admitted or running, 0
// otherwise.
func (s *State) cancelJob(j *job) int {
	switch {
	case j.lifeCycle.Is(jobAdmitting):
		j.stopReason = reasonCancelled
		return 1
	case j.lifeCycle.Is(jobRunning):
		s.refuseSuccessors(j)
		s.stop(j, reasonCancelled)
		s.cancelAttempts(j)
		return 1
	}
	return 0
}

// refuseSuccessors refuses the submissions that wait for the end of a job that is cancelled.
func (s *State) refuseSuccessors(j *job) {
	for _, next := range j.successors {
		s.refuseVolatile(next.waiter, j.submission.Key, messenger.CodeNotRun, reasonCancelled)
	}
	j.successors = nil
}

// cancelAttempts sends a cancel for every attempt of the job that agents hold.
func (s *State) cancelAttempts(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		for c := range t.copies {
			sent := &t.copies[c]
			if sent.cancelSent {
				continue
			}
			sent.cancelSent = true
			s.counters.Cancels++
			s.sendCancel(t, sent)
		}
	}
}

func (s *State) sendCancel(t *task, sent *sentCopy) {
	s.send(sent.agent.incarnation, messenger.Cancel{
		Task: t.key(), Attempt: sent.attempt, ReportSequence: sent.reportSequence, Volatile: t.job.submission.Volatile,
	})
}

// cancelled handles an agent's answer to a cancel. After a tombstone the attempt does not run
// and never will. A running task is awaited until the job's deadline.
func (s *State) cancelled(from messenger.Incarnation, m messenger.Cancelled) {
	t := s.findTask(m.Task)
	if t == nil {
		return
	}
	switch m.State {
	case messenger.RecordTombstoned:
		outcome := placer.NotStarted
		if !m.NeverStarted {
			outcome = placer.Lost
		}
		if !s.removeCopy(t, m.Attempt, from, placer.TaskResult{Outcome: outcome}) || t.phase == taskDone {
			return
		}
		if !m.NeverStarted {
			s.markInDoubt(t, "the agent cannot prove that the cancelled attempt has not run")
			return
		}
		if len(t.copies) > 0 {
			return
		}
		if t.job.submission.Volatile && t.job.stopReason == "" {
			// The attempt was cancelled because it was overdue in the agent's queue.
			t.attempt++
			s.enqueue(t)
			return
		}
		s.finishTask(t, t.notStartedOutcome(t.job.stopReason))
	case messenger.RecordRunning:
		if !s.now.Before(t.job.deadlineAt) && !t.job.submission.Volatile {
			s.markInDoubt(t, "the task had not ended when the deadline passed")
		}
	case messenger.RecordQueued, messenger.RecordFinished:
		// The agent sends the result in a separate message.
	}
}

// expireDeadlines stops jobs whose deadline has passed and cancels their attempts. Tasks
// whose agents do not answer within AnswerGrace end as "may have run".
func (s *State) expireDeadlines() {
	for len(s.deadlines) > 0 {
		j := s.deadlines[0]
		if j.expiresAt().After(s.now) {
			return
		}
		heap.Pop(&s.deadlines)
		if j.open == 0 {
			continue
		}
		if j.expired {
			s.endUnansweredTasks(j)
			continue
		}
		if j.submission.Volatile {
			s.expireJob(j)
			continue
		}
		j.expired = true
		j.graceEnd = s.now.Add(s.Config.AnswerGrace)
		heap.Push(&s.deadlines, j)
		s.stop(j, "the deadline passed")
		s.cancelAttempts(j)
	}
}

func (s *State) endUnansweredTasks(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != taskDone {
			s.markInDoubt(t, "the agent gave no answer before the deadline")
		}
	}
}
