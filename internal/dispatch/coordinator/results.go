package coordinator

import (
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/placer"
)

// finished takes the result of an attempt. Late results of settled or unknown
// tasks change nothing, but free the slot and serve takeovers.
func (s *State) finished(from messenger.Incarnation, m messenger.Finished) {
	t := s.findTask(m.Task)
	if t == nil {
		s.toldLoad(from, m.Load)
		s.collectFinished(from, m)
		return
	}
	verdict := placer.Succeeded
	switch m.Outcome.State {
	case messenger.TaskFailed:
		verdict = placer.Failed
	case messenger.TaskMayHaveRun, messenger.TaskNotRun, messenger.TaskInterrupted:
		verdict = placer.Lost
	case messenger.TaskSucceeded:
		s.succeededAt(from)
	}
	if s.tookTooLong(t, m) {
		verdict = placer.Failed
	}
	if verdict == placer.Failed {
		t.failedAt = append(t.failedAt, s.endpointOf(from))
	}
	taken := s.takeCopy(t, m.Attempt, from, placer.TaskResult{RunTime: m.RunTime, Outcome: verdict})
	s.toldLoad(from, m.Load)
	if !taken || t.phase == taskDone {
		return
	}
	if m.Outcome.State == messenger.TaskSucceeded {
		t.class.finished(s.now, t)
	}
	if m.Outcome.State == messenger.TaskSucceeded || !s.retry(t, m.Outcome) {
		s.finishTask(t, m.Outcome)
	}
}

func (s *State) succeededAt(from messenger.Incarnation) {
	if a := s.agentOf[from]; a != nil {
		a.succeededAt = s.now
	}
}

func (s *State) endpointOf(from messenger.Incarnation) string {
	if a := s.agentOf[from]; a != nil {
		return a.name
	}
	return ""
}

// retry places a repeatable task again after a failed attempt. It returns true
// if the task is not to be finished now.
func (s *State) retry(t *task, failed messenger.TaskOutcome) bool {
	if failed.State != messenger.TaskNotRun {
		t.earlier = failed
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

// refused takes an agent's refusal. With proof, the task is placed again.
func (s *State) refused(from messenger.Incarnation, m messenger.Refused) {
	s.counters.RefusedStarts++
	s.holdBack(from, m.Reason)
	t := s.findTask(m.Task)
	if t == nil {
		s.toldLoad(from, m.Load)
		s.collectRefused(from, m)
		return
	}
	verdict := placer.NotStarted
	if !m.NeverStarted {
		verdict = placer.Lost
	}
	if m.Reason == messenger.RefusedByEndpoint {
		verdict = placer.Failed
	}
	taken := s.takeCopy(t, m.Attempt, from, placer.TaskResult{Outcome: verdict})
	s.toldLoad(from, m.Load)
	if !taken || t.phase == taskDone {
		return
	}
	if !m.NeverStarted {
		s.inDoubt(t, "the agent refused without proof: "+string(m.Reason))
		return
	}
	if len(t.copies) > 0 {
		return
	}
	if t.job.stopReason != "" {
		s.finishTask(t, t.unstarted(t.job.stopReason))
		return
	}
	t.attempt++
	s.enqueue(t)
}

// holdBack stops placement on an agent whose refusal its load does not explain,
// until its next report.
func (s *State) holdBack(from messenger.Incarnation, reason messenger.RefusalReason) {
	a := s.agentOf[from]
	switch reason {
	case messenger.RefusedUnconfirmed, messenger.RefusedDomainOut, messenger.RefusedStale, messenger.RefusedLeaseLost:
		if a != nil {
			a.heldBack = true
			s.updateBlocks(a)
		}
	case messenger.RefusedFenced:
		// Somebody has taken over; the entry row tells.
		s.suspend()
	default:
	}
}

// inDoubt ends a task that nobody can prove not to have started.
func (s *State) inDoubt(t *task, reason string) {
	outcome := messenger.TaskOutcome{State: messenger.TaskMayHaveRun, Reason: reason}
	if s.retry(t, outcome) {
		return
	}
	s.emit(Decision{
		Kind: DecisionGiveUp, Submission: t.job.submission.Key, Task: t.index, Attempt: t.attempt, Reason: reason,
	})
	s.finishTask(t, outcome)
}

// finishTask gives a task its final state. The first failure stops the job: it
// can no longer be complete, so nothing more of it starts.
func (s *State) finishTask(t *task, outcome messenger.TaskOutcome) {
	if t.phase == taskDone {
		return
	}
	if t.phase == taskWaiting {
		t.class.queue.Remove(t.key())
		t.class.leave(t)
	}
	t.phase = taskDone
	outcome.Reason = shortReason(outcome.Reason)
	t.outcome = outcome
	j := t.job
	j.open--
	s.countResult(t)
	if outcome.State != messenger.TaskSucceeded && j.stopReason == "" {
		s.endVolatile(t)
		s.stop(j, "another task of the job did not succeed")
	}
	s.stepAdvanced(t)
	if j.open == 0 && j.lifeCycle.Is(jobRunning) {
		s.settle(j)
	}
}

// stop ends the waiting tasks of a job.
func (s *State) stop(j *job, reason string) {
	j.stopReason = reason
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == taskWaiting || t.phase == taskNew {
			s.finishTask(t, t.unstarted(reason))
		}
	}
}
