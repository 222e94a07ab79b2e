package coordinator

import (
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/placer"
)

// finished handles the result of an attempt. A late result of a settled or unknown task
// does not change its outcome, but frees the slot and is used by takeovers.
func (s *State) finished(from messenger.Incarnation, m messenger.Finished) {
	t := s.findTask(m.Task)
	if t == nil {
		s.updateLoad(from, m.Load)
		s.collectFinished(from, m)
		return
	}
	outcome := s.placementResult(t, m)
	if outcome == placer.Succeeded {
		s.recordSuccess(from)
	}
	if outcome == placer.Failed && m.Outcome.State != messenger.TaskMayHaveRun {
		t.failedAt = append(t.failedAt, s.endpointOf(from))
	}
	removed := s.removeCopy(t, m.Attempt, from, placer.TaskResult{RunTime: m.RunTime, Outcome: outcome})
	s.updateLoad(from, m.Load)
	if !removed || t.phase == taskDone {
		return
	}
	if m.Outcome.State == messenger.TaskSucceeded {
		t.class.taskCompleted(s.now, t)
	}
	if m.Outcome.State == messenger.TaskSucceeded || !s.retry(t, m.Outcome) {
		s.finishTask(t, m.Outcome)
	}
}

// placementResult returns what the result of an attempt tells about its endpoint. An endpoint
// that leaves the start of a volatile task unanswered counts as failing.
func (s *State) placementResult(t *task, m messenger.Finished) placer.Outcome {
	switch m.Outcome.State {
	case messenger.TaskSucceeded:
		return placer.Succeeded
	case messenger.TaskFailed:
		return placer.Failed
	case messenger.TaskMayHaveRun:
		if t.job.submission.Volatile {
			return placer.Failed
		}
	case messenger.TaskNotRun, messenger.TaskInterrupted:
	}
	if s.endedAsOverdue(t, m) {
		return placer.Failed
	}
	return placer.Lost
}

func (s *State) recordSuccess(from messenger.Incarnation) {
	if a := s.agentByIncarnation[from]; a != nil {
		a.lastSuccessAt = s.now
	}
}

func (s *State) endpointOf(from messenger.Incarnation) string {
	if a := s.agentByIncarnation[from]; a != nil {
		return a.name
	}
	return ""
}

// retry enqueues a repeatable or volatile task again after a failed attempt. It returns
// false if the task has to be finished now.
func (s *State) retry(t *task, failed messenger.TaskOutcome) bool {
	if failed.State != messenger.TaskNotRun {
		t.earlierOutcome = failed
	}
	if t.job.submission.Volatile {
		return s.retryVolatile(t, failed)
	}
	if !t.job.submission.Repeatable || t.job.stopReason != "" {
		return false
	}
	if len(t.copies) > 0 {
		// Another copy may still succeed.
		return true
	}
	if !t.job.deadlineAt.After(s.now) || !s.budgetOf(t.job).Retry() {
		return false
	}
	s.counters.Retries++
	t.attempt++
	s.enqueue(t)
	return true
}

// refused handles an agent's refusal to start a task. If the refusal proves that the
// task has not started, the task is placed again.
func (s *State) refused(from messenger.Incarnation, m messenger.Refused) {
	s.counters.RefusedStarts++
	s.holdBack(from, m.Reason)
	t := s.findTask(m.Task)
	if t == nil {
		s.updateLoad(from, m.Load)
		s.collectRefused(from, m)
		return
	}
	outcome := placer.NotStarted
	if !m.NeverStarted {
		outcome = placer.Lost
	}
	if m.Reason == messenger.RefusedByEndpoint {
		outcome = placer.Failed
	}
	removed := s.removeCopy(t, m.Attempt, from, placer.TaskResult{Outcome: outcome})
	s.updateLoad(from, m.Load)
	if !removed || t.phase == taskDone {
		return
	}
	if !m.NeverStarted {
		s.markInDoubt(t, "the agent refused without proof: "+string(m.Reason))
		return
	}
	if len(t.copies) > 0 {
		return
	}
	if t.job.stopReason != "" {
		s.finishTask(t, t.notStartedOutcome(t.job.stopReason))
		return
	}
	t.attempt++
	s.enqueue(t)
}

// holdBack stops placement on an agent until its next report if the reason for its
// refusal is not visible in its load.
func (s *State) holdBack(from messenger.Incarnation, reason messenger.RefusalReason) {
	a := s.agentByIncarnation[from]
	switch reason {
	case messenger.RefusedUnconfirmed, messenger.RefusedDomainOut, messenger.RefusedStale, messenger.RefusedLeaseLost:
		if a != nil {
			a.heldBack = true
			s.updateBlocks(a)
		}
	case messenger.RefusedFenced:
		// The agent rejects this entry as replaced. Renewing the entry row shows
		// whether it was.
		s.suspend()
	default:
	}
}

// markInDoubt retries a task that may have run, or finishes it as may_have_run.
func (s *State) markInDoubt(t *task, reason string) {
	decision := Decision{
		Kind: DecisionInDoubt, Submission: t.job.submission.Key, Task: t.index, Attempt: t.attempt, Reason: reason,
	}
	outcome := messenger.TaskOutcome{State: messenger.TaskMayHaveRun, Reason: reason}
	if s.retry(t, outcome) {
		s.emit(decision)
		return
	}
	decision.Kind = DecisionGiveUp
	s.emit(decision)
	s.finishTask(t, outcome)
}

// finishTask gives a task its final state. The first task that does not succeed stops
// the job: it can no longer be complete, so no further task of it starts.
func (s *State) finishTask(t *task, outcome messenger.TaskOutcome) {
	if t.phase == taskDone {
		return
	}
	if t.phase == taskWaiting {
		s.dequeue(t)
	}
	t.phase = taskDone
	outcome.Reason = truncateReason(outcome.Reason)
	t.outcome = outcome
	if t.job.late != nil {
		s.updateLate(t.job)
	}
	j := t.job
	j.open--
	s.addResultSize(t)
	if outcome.State != messenger.TaskSucceeded && j.stopReason == "" {
		s.endVolatile(t)
		s.stop(j, "another task of the job did not succeed")
	}
	s.unblockSteps(t)
	if j.open == 0 && j.lifeCycle.Is(jobRunning) {
		s.settle(j)
	}
}

// stop finishes the tasks of a job that have not been sent.
func (s *State) stop(j *job, reason string) {
	j.stopReason = reason
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == taskWaiting || t.phase == taskNew {
			s.finishTask(t, t.notStartedOutcome(reason))
		}
	}
}
