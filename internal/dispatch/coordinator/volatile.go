package coordinator

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Volatile submissions are not recorded. They start at once, their callers learn
// the outcome from the call that waits, and a caller whose call broke may hand
// the job to any entry again. Attempts of a task follow each other only after the
// agent, or the loss of its leases, has proved that the earlier one has ended.

// successor is a submission of an id whose former job is still being ended.
type successor struct {
	waiter     waiter
	submission messenger.Submission
}

const (
	reasonCallerLeft     = "the caller has left"
	reasonDeadlinePassed = "the deadline passed"
)

// submitVolatile admits or refuses at once; nothing is read or written.
func (s *State) submitVolatile(w waiter, submission messenger.Submission) {
	key := submission.Key
	if !s.admitsVolatile() {
		s.refuseVolatile(w, key, messenger.CodeNotRun, "this entry is "+s.lifeCycle.Current())
		return
	}
	settings, refusal, known := s.check(w, &submission)
	switch {
	case !known:
	case refusal.Code != "":
		s.refuseVolatile(w, key, refusal.Code, refusal.Reason)
	default:
		s.admitVolatile(w, submission, settings)
	}
}

// admitsVolatile tells whether volatile submissions are admitted at all. They need no
// row of this entry, so that it serves them while the store keeps it from starting.
func (s *State) admitsVolatile() bool {
	return s.lifeCycle.Is(entryStarting) || s.lifeCycle.Is(entryActive) || s.lifeCycle.Is(entryDraining)
}

// admitVolatile starts a job unless it would miss its objective.
func (s *State) admitVolatile(w waiter, submission messenger.Submission, settings resolver.Resolved) {
	key := submission.Key
	j := s.newJob(submission, settings)
	j.objective = objectiveOf(s.tree.Firms[key.Firm].Queues[submission.Queue], submission)
	if s.lifeCycle.Is(entryDraining) && !s.endsBeforeStop(j) {
		s.removeJob(j)
		s.refuseVolatile(w, key, messenger.CodeNotRun, "this entry is "+entryDraining)
		return
	}
	if delay, late := s.overloaded(j); late {
		s.removeJob(j)
		reason := fmt.Sprintf("the wait of %v exceeds the %v that the objective leaves",
			delay.Round(time.Millisecond), j.objective.slack().Round(time.Millisecond))
		s.refuseWithRetryAfter(w, key, messenger.CodeOverloaded, reason, s.retryAfter(delay))
		return
	}
	j.openIn = openTasks(submission)
	j.waiters = append(j.waiters, w)
	s.startJob(j)
}

// refuseVolatile refuses with the usual time after which the caller may come back.
func (s *State) refuseVolatile(w waiter, key messenger.SubmissionKey, code messenger.RefusalCode, reason string) {
	s.refuseWithRetryAfter(w, key, code, reason, s.retryAfter(0))
}

func (s *State) refuseWithRetryAfter(
	w waiter, key messenger.SubmissionKey, code messenger.RefusalCode, reason string, after time.Duration,
) {
	s.counters.Refused++
	s.emit(Decision{Kind: DecisionRefuse, Submission: key, Reason: string(code) + ": " + reason})
	s.reply(w, RefusalAnswer{Refusal: messenger.Refusal{Code: code, Reason: reason, RetryAfter: after}})
}

// openTasks counts the tasks of each step.
func openTasks(submission messenger.Submission) []int {
	open := make([]int, max(1, len(submission.After)))
	for _, spec := range submission.Tasks {
		open[spec.Position.Step]++
	}
	return open
}

// invalidStepsReason says why the steps of a submission cannot be put in order.
func invalidStepsReason(submission messenger.Submission) string {
	steps := max(1, len(submission.After))
	for _, spec := range submission.Tasks {
		if spec.Position.Step < 0 || spec.Position.Step >= steps {
			return "a task names a step that the job does not have"
		}
	}
	for step, after := range submission.After {
		for _, earlier := range after {
			if earlier < 0 || earlier >= step {
				return "a step may only follow earlier ones"
			}
		}
	}
	return ""
}

// blocked tells whether a task waits for an earlier step.
func (j *job) blocked(t *task) bool {
	step := j.submission.Tasks[t.index].Position.Step
	if step >= len(j.submission.After) {
		return false
	}
	for _, earlier := range j.submission.After[step] {
		if j.openIn[earlier] > 0 {
			return true
		}
	}
	return false
}

// unblockSteps lets the steps start that waited for the task's step.
func (s *State) unblockSteps(t *task) {
	j := t.job
	if j.openIn == nil || t.outcome.State != messenger.TaskSucceeded {
		return
	}
	step := j.submission.Tasks[t.index].Position.Step
	j.openIn[step]--
	if j.openIn[step] > 0 || j.stopReason != "" {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].phase == taskNew && !j.blocked(&j.tasks[i]) {
			s.enqueue(&j.tasks[i])
		}
	}
}

// setPending counts a job among those of its queue of which no task was sent.
func (s *State) setPending(j *job, pending bool) {
	if j.submission.Queue == "" || j.pending == pending {
		return
	}
	j.pending = pending
	if pending {
		s.pending[j.submission.Queue]++
		return
	}
	s.pending[j.submission.Queue]--
}

// retryVolatile places a task again whose earlier attempt is known to have ended.
func (s *State) retryVolatile(t *task, ended messenger.TaskOutcome) bool {
	if t.job.stopReason != "" {
		return false
	}
	if len(t.copies) > 0 {
		return true
	}
	if ended.State == messenger.TaskFailed {
		t.failures++
	}
	if t.exhausted() || !t.job.deadlineAt.After(s.now) {
		return false
	}
	s.counters.Retries++
	t.attempt++
	s.enqueue(t)
	return true
}

// exhausted tells whether a task has failed as often as it may.
func (t *task) exhausted() bool {
	return t.failures >= max(1, t.job.submission.MaxAttempts)
}

// endVolatile answers a volatile job of which a task was not done, and ends what
// still runs of it. The job has failed only if the task has used up its attempts;
// one that could not be placed again in time is given up.
func (s *State) endVolatile(t *task) {
	j := t.job
	if !j.submission.Volatile || j.givenUp {
		return
	}
	if !t.exhausted() {
		s.giveUp(j, "a task could not run again in time: "+t.outcome.Reason)
		return
	}
	j.outcome = outcomeOf(j)
	for i := range j.outcome.Tasks {
		if j.outcome.Tasks[i].State == "" {
			j.outcome.Tasks[i] = messenger.TaskOutcome{State: messenger.TaskMayHaveRun, Reason: "the run is being ended"}
		}
	}
	s.answerWaiters(j)
	s.cancelSent(j)
}

// settleVolatile ends a job of which nothing runs any more.
func (s *State) settleVolatile(j *job) {
	step(j.lifeCycle, eventSettle)
	j.settledAt = s.now
	if !j.told && j.outcome.Status == messenger.OutcomeFailed {
		// It was stopped from here: no task has used up its attempts.
		s.giveUp(j, j.stopReason)
	}
	if j.givenUp {
		s.closeGivenUp(j)
		return
	}
	s.answerWaiters(j)
	for i := range j.submission.Tasks {
		j.submission.Tasks[i].Payload = nil
	}
	s.settled = append(s.settled, j)
}

// closeGivenUp lets the submissions of the same id start that waited.
func (s *State) closeGivenUp(j *job) {
	s.evict(j)
	for _, next := range j.successors {
		s.submit(next.waiter, next.submission)
	}
}

// giveUp answers the callers of a volatile job at once and ends what runs of it.
func (s *State) giveUp(j *job, reason string) {
	if j.givenUp || j.told {
		return
	}
	j.givenUp = true
	s.setPending(j, false)
	code := messenger.CodeNotRun
	if j.mayHaveStarted() {
		code = messenger.CodeOutcomeUnknown
	}
	s.emit(Decision{Kind: DecisionGiveUp, Submission: j.submission.Key, Reason: string(code) + ": " + reason})
	for _, w := range j.waiters {
		s.refuseVolatile(w, j.submission.Key, code, reason)
	}
	j.waiters = nil
	s.cancelSent(j)
	if j.stopReason == "" {
		s.stop(j, reason)
	}
}

// mayHaveStarted tells whether any task has started, or may have.
func (j *job) mayHaveStarted() bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if len(t.copies) > 0 || t.earlier.State != "" || t.outcome.State == messenger.TaskSucceeded {
			return true
		}
	}
	return false
}

// giveUpWithoutWaiters gives up a volatile job that nobody waits for any more.
func (s *State) giveUpWithoutWaiters(j *job, call CallID) {
	j.successors = slices.DeleteFunc(j.successors, func(next successor) bool { return next.waiter.isCall(call) })
	if j.submission.Volatile && len(j.waiters) == 0 && j.lifeCycle.Is(jobRunning) {
		s.giveUp(j, reasonCallerLeft)
	}
}

// expireJob gives up a volatile job at its deadline. What an agent does not
// answer is closed once its leases have surely lapsed.
func (s *State) expireJob(j *job) {
	j.expired = true
	j.graceEnd = s.now.Add(s.Config.GoneAfter + s.Config.AnswerGrace)
	heap.Push(&s.deadlines, j)
	s.giveUp(j, reasonDeadlinePassed)
}

// expireVolatile gives up jobs before an event can place their tasks: after a
// stall, the first event may come before the first tick.
func (s *State) expireVolatile() {
	if len(s.deadlines) == 0 {
		return
	}
	if j := s.deadlines[0]; j.submission.Volatile && !j.expiresAt().After(s.now) {
		s.expireDeadlines()
	}
}
