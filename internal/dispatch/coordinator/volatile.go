package coordinator

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Volatile submissions are not stored. They start at once, and the outcome is returned
// by the call that submitted them. A caller whose call broke off may submit the job
// again at any entry. A task is attempted again only after the agent, or the expiry of
// its leases, has proved that the earlier attempt has ended.

// successor is a submission whose id belongs to a given-up job that has not ended yet.
type successor struct {
	waiter     waiter
	submission messenger.Submission
}

const (
	reasonCallerLeft     = "the caller has left"
	reasonDeadlinePassed = "the deadline passed"
)

// submitVolatile admits or refuses a submission at once, without access to the store.
func (s *State) submitVolatile(w waiter, submission messenger.Submission) {
	key := submission.Key
	if !s.admitsVolatile() {
		s.refuseVolatile(w, key, messenger.CodeNotRun, "this entry is "+s.lifeCycle.Current())
		return
	}
	settings, refusal, known := s.checkAdmission(w, &submission)
	switch {
	case !known:
		// checkAdmission has already replied.
	case refusal.Code != "":
		s.refuseVolatile(w, key, refusal.Code, refusal.Reason)
	default:
		s.admitVolatile(w, submission, settings)
	}
}

// admitsVolatile reports whether the life cycle allows volatile submissions. They do not
// need the entry row, so a starting entry serves them even if the store is unreachable.
func (s *State) admitsVolatile() bool {
	return s.lifeCycle.Is(entryStarting) || s.lifeCycle.Is(entryActive) || s.lifeCycle.Is(entryDraining)
}

// admitVolatile starts a job unless its expected wait is too long for its objective,
// which is the target latency that its queue sets, or the entry is draining and the job
// may not be answered before the drain timeout.
func (s *State) admitVolatile(w waiter, submission messenger.Submission, settings resolver.Resolved) {
	key := submission.Key
	j := s.newJob(submission, settings)
	j.objective = objectiveOf(s.tree.Firms[key.Firm].Queues[submission.Queue], submission)
	if s.lifeCycle.Is(entryDraining) && !s.admitsWhileDraining(j) {
		s.removeJob(j)
		s.refuseVolatile(w, key, messenger.CodeNotRun, "this entry is "+entryDraining)
		return
	}
	if delay, late := s.overloaded(j); late {
		lateWait, admitted := s.admitLate(j)
		if !admitted {
			s.removeJob(j)
			reason := fmt.Sprintf("the wait of %v exceeds the %v that the objective leaves",
				delay.Round(time.Millisecond), j.objective.slack().Round(time.Millisecond))
			s.refuseWithRetryAfter(w, key, messenger.CodeOverloaded, reason, s.retryAfter(max(delay, lateWait)))
			return
		}
	}
	if b := s.lateBacklogOf(serviceKey{key.Firm, key.Service}); b != nil && j.late == nil {
		b.admittedOnTime(s.now, j.readyMilliCPU())
	}
	j.openByStep = openTasks(submission)
	j.waiters = append(j.waiters, w)
	s.startJob(j)
}

// refuseVolatile refuses with the default retry-after time.
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

// invalidStepsReason returns why the steps of a submission are invalid, or "".
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

// blocked reports whether a task waits for an earlier step.
func (j *job) blocked(t *task) bool {
	step := j.submission.Tasks[t.index].Position.Step
	if step >= len(j.submission.After) {
		return false
	}
	for _, earlier := range j.submission.After[step] {
		if j.openByStep[earlier] > 0 {
			return true
		}
	}
	return false
}

// unblockSteps enqueues the tasks of the steps that waited for the step of task t, once
// that step is complete.
func (s *State) unblockSteps(t *task) {
	j := t.job
	if j.openByStep == nil || t.outcome.State != messenger.TaskSucceeded {
		return
	}
	step := j.submission.Tasks[t.index].Position.Step
	j.openByStep[step]--
	if j.openByStep[step] > 0 || j.stopReason != "" {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].phase == taskNew && !j.blocked(&j.tasks[i]) {
			s.enqueue(&j.tasks[i])
		}
	}
}

// setPending adds a job to, or removes it from, the count of pending jobs of its queue. A
// job is pending while none of its tasks has been sent to an agent.
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

// retryVolatile enqueues a task again after an attempt that is known to have ended. If
// other copies of the task are still at agents, it enqueues nothing and returns true. It
// returns false if the task has to be finished now.
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

// exhausted reports whether a task has used up its attempts.
func (t *task) exhausted() bool {
	return t.failures >= max(1, t.job.submission.MaxAttempts)
}

// endVolatile answers a volatile job after a task did not succeed, and cancels its
// running tasks. The job fails only if the task has used up its attempts. If the task
// could not be placed again in time, the job is given up.
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
	s.cancelAttempts(j)
}

// settleVolatile ends a volatile job that has no running tasks left.
func (s *State) settleVolatile(j *job) {
	transition(j.lifeCycle, eventSettle)
	j.settledAt = s.now
	if !j.answered && j.outcome.Status == messenger.OutcomeFailed {
		// This entry stopped the job: no task has used up its attempts.
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

// closeGivenUp removes a given-up job and submits its successors.
func (s *State) closeGivenUp(j *job) {
	s.evict(j)
	for _, next := range j.successors {
		s.submit(next.waiter, next.submission)
	}
}

// giveUp refuses the waiters of a volatile job at once and cancels its running tasks.
func (s *State) giveUp(j *job, reason string) {
	if j.givenUp || j.answered {
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
	s.cancelAttempts(j)
	if j.stopReason == "" {
		s.stop(j, reason)
	}
}

// mayHaveStarted reports whether any task has or may have started.
func (j *job) mayHaveStarted() bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if len(t.copies) > 0 || t.earlierOutcome.State != "" || t.outcome.State == messenger.TaskSucceeded {
			return true
		}
	}
	return false
}

// giveUpWithoutWaiters removes the call from the successors of a job, and gives up a
// running volatile job that has no waiters left.
func (s *State) giveUpWithoutWaiters(j *job, call CallID) {
	j.successors = slices.DeleteFunc(j.successors, func(next successor) bool { return next.waiter.isCall(call) })
	if j.submission.Volatile && len(j.waiters) == 0 && j.lifeCycle.Is(jobRunning) {
		s.giveUp(j, reasonCallerLeft)
	}
}

// expireJob gives up a volatile job at its deadline. Attempts that an agent does not
// answer are ended after graceEnd, when its leases have certainly lapsed.
func (s *State) expireJob(j *job) {
	j.expired = true
	j.graceEnd = s.now.Add(s.Config.GoneAfter + s.Config.AnswerGrace)
	heap.Push(&s.deadlines, j)
	s.giveUp(j, reasonDeadlinePassed)
}

// expireVolatile gives up expired jobs before an event can place their tasks: after a
// stall, another event may arrive before the first tick.
func (s *State) expireVolatile() {
	if len(s.deadlines) == 0 {
		return
	}
	if j := s.deadlines[0]; j.submission.Volatile && !j.expiresAt().After(s.now) {
		s.expireDeadlines()
	}
}
