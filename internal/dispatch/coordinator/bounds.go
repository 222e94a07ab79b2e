package coordinator

import (
	"fmt"
	"slices"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// maxReasonBytes bounds the reason of one task in an outcome. Endpoints may return
// reasons of up to 256 KiB, and the reasons of 210 tasks must fit into one row.
const maxReasonBytes = 4 << 10

// addResultSize adds the size of a task's result to its job. A job whose results exceed
// max_result_bytes fails, because its outcome row would exceed the store's row limit.
func (s *State) addResultSize(t *task) {
	j := t.job
	j.resultBytes += len(t.outcome.Result)
	if reason := resultsLimitReason(j.resultBytes, j.settings.MaxResultBytes); reason != "" && j.failureReason == "" {
		j.failureReason = reason
		s.emit(Decision{Kind: DecisionGiveUp, Submission: j.submission.Key, Task: t.index, Reason: reason})
	}
	if j.failureReason == "" {
		return
	}
	// The outcome of a failed job holds no results.
	t.outcome.Result = nil
	if j.stopReason == "" {
		s.stop(j, j.failureReason)
	}
}

// resultsLimitReason returns the reason why results of this size cannot be kept, or "".
func resultsLimitReason(size, limit int) string {
	if size <= limit {
		return ""
	}
	return fmt.Sprintf("the results of the tasks exceed %d bytes (max_result_bytes); they were dropped", limit)
}

func truncateReason(reason string) string {
	if len(reason) <= maxReasonBytes {
		return reason
	}
	return fmt.Sprintf("%s... (%d bytes cut)", reason[:maxReasonBytes], len(reason)-maxReasonBytes)
}

// takeoverOutcome returns the outcome of a submission that was taken over. A witnessed
// outcome may have been sent to a caller already, so it stays unchanged even if
// max_result_bytes has been lowered since.
func (s *State) takeoverOutcome(t *takeover, r *remote) messenger.Outcome {
	outcome := t.outcome(r)
	if _, witnessed := t.witnessed[r.row.Key]; witnessed {
		return outcome
	}
	return s.applyOutcomeLimits(outcome)
}

// applyOutcomeLimits applies maxReasonBytes and max_result_bytes to an outcome that was
// built from the agents' records in a takeover.
func (s *State) applyOutcomeLimits(outcome messenger.Outcome) messenger.Outcome {
	size := 0
	for i := range outcome.Tasks {
		outcome.Tasks[i].Reason = truncateReason(outcome.Tasks[i].Reason)
		size += len(outcome.Tasks[i].Result)
	}
	settings, ok := s.tree.ResolveAdmission(outcome.Key.Firm, outcome.Key.Service)
	if !ok {
		return outcome
	}
	if reason := resultsLimitReason(size, settings.MaxResultBytes); reason != "" {
		return failedOutcome(outcome, reason)
	}
	return outcome
}

// failedOutcome turns an outcome into that of a failed job without results.
func failedOutcome(outcome messenger.Outcome, reason string) messenger.Outcome {
	outcome.Status = messenger.OutcomeFailed
	outcome.Reason = reason
	outcome.Tasks = slices.Clone(outcome.Tasks)
	dropResults(outcome.Tasks)
	return outcome
}

func rowRefusedReason(reason string) string {
	return "the store does not take the outcome: " + reason
}

// outcomeRefused ends a job whose outcome row the store rejects permanently. The job
// fails with the reason of the rejection. If the row of the failed outcome is rejected
// too, or if the witnessed outcome was sent to callers already, no further row is
// written. The job then stays in memory, because with an intent row but no outcome row,
// a resubmission to this entry would run the job again.
func (s *State) outcomeRefused(e OutcomeSettled) {
	j := s.jobs[e.Key]
	if j == nil {
		s.remoteOutcomeRefused(e)
		return
	}
	if !j.lifeCycle.Is(jobSettling) {
		return
	}
	reason := rowRefusedReason(e.Refused)
	s.emit(Decision{Kind: DecisionGiveUp, Submission: e.Key, Reason: reason})
	if !j.answered && !j.rowRefused {
		j.rowRefused = true
		j.outcome = failedOutcome(j.outcome, reason)
		s.emit(CommitOutcome{Outcome: j.outcome})
		return
	}
	s.settling = slices.DeleteFunc(s.settling, func(x *job) bool { return x == j })
	transition(j.lifeCycle, eventSettle)
	j.unrecordedReason = reason
	for _, w := range j.waiters {
		s.replyRefusal(w, e.Key, messenger.CodeOutcomeUnknown, reason)
	}
	j.waiters = nil
}

// remoteOutcomeRefused ends a submission that was taken over and whose outcome row the
// store rejects permanently, as outcomeRefused does for this entry's own jobs.
func (s *State) remoteOutcomeRefused(e OutcomeSettled) {
	r := s.remotes[e.Key]
	if r == nil {
		return
	}
	reason := rowRefusedReason(e.Refused)
	if !r.rowRefused {
		r.rowRefused = true
		outcome := messenger.Outcome{Key: e.Key, Digest: r.row.Digest}
		for range r.row.Tasks {
			outcome.Tasks = append(outcome.Tasks, messenger.TaskOutcome{State: messenger.TaskMayHaveRun, Reason: "the owner was lost"})
		}
		s.emit(CommitOutcome{Outcome: failedOutcome(outcome, reason)})
		return
	}
	delete(s.remotes, e.Key)
	for _, w := range r.waiters {
		s.replyRefusal(w, e.Key, messenger.CodeOutcomeUnknown, reason)
	}
}
