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

// cancelPatience bounds the wait for the other entries' answers to a cancel of
// many submissions.
const cancelPatience = 2 * time.Second

// cancelCall gathers the answers of all entries to one cancel.
type cancelCall struct {
	waiter    waiter
	pending   int
	cancelled int
	answered  bool
	startedAt time.Time
}

func (s *State) cancelRequested(w waiter, key messenger.SubmissionKey, prefix bool) {
	if prefix {
		s.cancelPrefix(w, key)
		return
	}
	if j := s.jobs[key]; j != nil {
		s.reply(w, CancelAnswer{Cancelled: s.cancelJob(j)})
		return
	}
	s.read(key, lookup{waiter: w, submission: messenger.Submission{Key: key}, query: true, cancel: true})
}

func (s *State) cancelPrefix(w waiter, key messenger.SubmissionKey) {
	call := &cancelCall{waiter: w, startedAt: s.now}
	for _, j := range s.jobsWithPrefix(key) {
		call.cancelled += s.cancelJob(j)
	}
	if w.peer == "" {
		s.spreadCancel(call, key)
	}
	s.answerCancel(call)
}

func (s *State) jobsWithPrefix(key messenger.SubmissionKey) []*job {
	return s.sortedJobs(func(k messenger.SubmissionKey) bool {
		return k.Firm == key.Firm && k.Service == key.Service && strings.HasPrefix(k.ID, key.ID)
	})
}

// sortedJobs returns the jobs whose key matches, in the order of arrival.
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

func (s *State) spreadCancel(call *cancelCall, key messenger.SubmissionKey) {
	for _, p := range s.sortedPeers() {
		if !s.reachable(p.incarnation) {
			continue
		}
		call.pending++
		s.send(p.incarnation, messenger.Forward{
			Call:       s.newCall(forwardCall{key: key, cancel: call}),
			Submission: messenger.Submission{Key: key},
			Cancel:     true,
			Prefix:     true,
		})
	}
}

// forwardCancel asks the owner of a submission to cancel it.
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

// passCancel passes a cancel that was answered during the admission to the owner
// that the row names. If the owner is gone, the takeover ends the submission.
func (s *State) passCancel(row IntentRow) {
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
	s.reply(call.waiter, CancelAnswer{Cancelled: call.cancelled})
}

// expireCancels answers cancels of many submissions without the entries that
// stay silent. A cancel of one submission then gets an honest refusal.
func (s *State) expireCancels() {
	var ids []uint64
	for id, call := range s.calls {
		if call.cancel != nil && s.now.Sub(call.cancel.startedAt) > cancelPatience {
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

// cancelJob stops a job and returns 1 if there was anything to stop.
func (s *State) cancelJob(j *job) int {
	switch {
	case j.lifeCycle.Is(jobAdmitting):
		j.stopReason = reasonCancelled
		return 1
	case j.lifeCycle.Is(jobRunning):
		s.stop(j, reasonCancelled)
		s.cancelSent(j)
		return 1
	}
	return 0
}

// cancelSent asks the agents not to start what they have not started.
func (s *State) cancelSent(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		for c := range t.copies {
			sent := &t.copies[c]
			if sent.cancelSent {
				continue
			}
			sent.cancelSent = true
			s.counters.Cancels++
			s.send(sent.agent.incarnation, messenger.Cancel{Task: t.key(), Attempt: sent.attempt})
		}
	}
}

// cancelled takes an agent's answer. Tombstoned is proof; a running task is
// awaited until the deadline.
func (s *State) cancelled(from messenger.Incarnation, m messenger.Cancelled) {
	t := s.findTask(m.Task)
	if t == nil {
		return
	}
	switch m.State {
	case messenger.RecordTombstoned:
		if !s.takeCopy(t, m.Attempt, from, placer.TaskResult{Outcome: placer.NotStarted}) {
			return
		}
		if len(t.copies) > 0 || t.phase == taskDone {
			return
		}
		if t.job.submission.Volatile && t.job.stopReason == "" {
			// It was overdue in the agent's queue.
			t.attempt++
			s.enqueue(t)
			return
		}
		s.finishTask(t, t.unstarted(t.job.stopReason))
	case messenger.RecordRunning:
		if !s.now.Before(t.job.deadlineAt) && !t.job.submission.Volatile {
			s.inDoubt(t, "the task had not ended when the deadline passed")
		}
	case messenger.RecordQueued, messenger.RecordFinished:
		// The result follows.
	}
}

// expireDeadlines stops jobs whose deadline has passed. Agents are asked for
// proof; AnswerGrace later, what has no answer is in doubt.
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
			s.giveUpOpen(j)
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
		s.cancelSent(j)
	}
}

func (s *State) giveUpOpen(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != taskDone {
			s.inDoubt(t, "the agent gave no answer before the deadline")
		}
	}
}
