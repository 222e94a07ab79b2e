package coordinator

import (
	"fmt"
	"slices"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// maxReasonBytes bounds the reason of one task in an outcome. Endpoints may give
// reasons of up to 256 KiB, and 210 of them must fit into one row.
const maxReasonBytes = 4 << 10

// countResult adds the result of a task to its job. A job whose results exceed
// the bound fails, because its outcome row would exceed the table's limit.
func (s *State) countResult(t *task) {
	j := t.job
	j.resultBytes += len(t.outcome.Result)
	if reason := resultsFault(j.resultBytes, j.settings.MaxResultBytes); reason != "" && j.failure == "" {
		j.failure = reason
		s.emit(Decision{Kind: DecisionGiveUp, Submission: j.submission.Key, Task: t.index, Reason: reason})
	}
	if j.failure == "" {
		return
	}
	// A failed outcome holds no results, so this one need not be kept.
	t.outcome.Result = nil
	if j.stopReason == "" {
		s.stop(j, j.failure)
	}
}

// resultsFault says why results of this size cannot be kept, or nothing.
func resultsFault(size, limit int) string {
	if size <= limit {
		return ""
	}
	return fmt.Sprintf("the results of the tasks exceed %d bytes (max_result_bytes); they were dropped", limit)
}

func shortReason(reason string) string {
	if len(reason) <= maxReasonBytes {
		return reason
	}
	return fmt.Sprintf("%s... (%d bytes cut)", reason[:maxReasonBytes], len(reason)-maxReasonBytes)
}

// takenOutcome is the outcome of a submission that was taken over. One that
// witnesses keep may have been told, so it stays as it is, even if the bound has
// been lowered since.
func (s *State) takenOutcome(t *takeover, r *remote) messenger.Outcome {
	outcome := t.outcome(r)
	if _, witnessed := t.witnessed[r.row.Key]; witnessed {
		return outcome
	}
	return s.boundCollected(outcome)
}

// boundCollected applies the bounds to an outcome that a takeover has collected.
func (s *State) boundCollected(outcome messenger.Outcome) messenger.Outcome {
	size := 0
	for i := range outcome.Tasks {
		outcome.Tasks[i].Reason = shortReason(outcome.Tasks[i].Reason)
		size += len(outcome.Tasks[i].Result)
	}
	settings, ok := s.tree.ResolveAdmission(outcome.Key.Firm, outcome.Key.Service)
	if !ok {
		return outcome
	}
	if reason := resultsFault(size, settings.MaxResultBytes); reason != "" {
		return failedOutcome(outcome, reason)
	}
	return outcome
}

// failedOutcome is the outcome of a job whose results cannot be kept.
func failedOutcome(outcome messenger.Outcome, reason string) messenger.Outcome {
	outcome.Status = messenger.OutcomeFailed
	outcome.Reason = reason
	outcome.Tasks = slices.Clone(outcome.Tasks)
	dropResults(outcome.Tasks)
	return outcome
}

func rowRefused(reason string) string {
	return "the store does not take the outcome: " + reason
}

// outcomeRefused ends a job whose outcome row the table will never take. The job
// fails with the reason. If even that row is refused, or if witnesses have let
// the outcome be told, no further row is tried; the job then stays in memory,
// because its intent row without an outcome row would let it run again here.
func (s *State) outcomeRefused(e OutcomeSettled) {
	j := s.jobs[e.Key]
	if j == nil {
		s.remoteRefused(e)
		return
	}
	if !j.lifeCycle.Is(jobSettling) {
		return
	}
	reason := rowRefused(e.Refused)
	s.emit(Decision{Kind: DecisionGiveUp, Submission: e.Key, Reason: reason})
	if !j.told && !j.rowRefused {
		j.rowRefused = true
		j.outcome = failedOutcome(j.outcome, reason)
		s.emit(CommitOutcome{Outcome: j.outcome})
		return
	}
	s.settling = slices.DeleteFunc(s.settling, func(x *job) bool { return x == j })
	step(j.lifeCycle, eventSettle)
	j.unrecorded = reason
	for _, w := range j.waiters {
		s.replyRefusal(w, e.Key, messenger.CodeOutcomeUnknown, reason)
	}
	j.waiters = nil
}

// remoteRefused does the same for a submission that was taken over.
func (s *State) remoteRefused(e OutcomeSettled) {
	r := s.remotes[e.Key]
	if r == nil {
		return
	}
	reason := rowRefused(e.Refused)
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
