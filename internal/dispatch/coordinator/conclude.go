package coordinator

import (
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// concludeTakeover decides the outcomes of those submissions of a replaced owner that have
// waiting callers, once the agents have answered.
func (s *State) concludeTakeover(t *takeover) {
	if t.phase != takeoverCollecting {
		return
	}
	for s.endRound(t) {
		s.startRound(t)
	}
	for _, r := range s.sortedRemotes() {
		if r.row.Owner != t.owner || r.settling || r.collectedAt.IsZero() {
			continue
		}
		if s.stillRunning(t, r) || (!t.isWitnessed(r) && !s.mayConclude(t)) {
			continue
		}
		r.settling = true
		s.emit(CommitOutcome{Outcome: s.takeoverOutcome(t, r)})
	}
}

// endRound ends a round that all agents have answered, or that has lasted for
// CollectTimeout. It reports whether another round is needed for submissions that were
// added since.
func (s *State) endRound(t *takeover) bool {
	if len(t.awaiting) > 0 && s.now.Sub(t.roundAt) < s.Config.CollectTimeout {
		return false
	}
	for _, r := range t.requested {
		if r.collectedAt.IsZero() {
			r.collectedAt = s.now
		}
	}
	for _, r := range s.remotes {
		if r.row.Owner == t.owner && r.collectedAt.IsZero() {
			return true
		}
	}
	return false
}

func (t *takeover) isWitnessed(r *remote) bool {
	_, ok := t.witnessed[r.row.Key]
	return ok
}

// stillRunning reports whether an agent's record shows a running task. The wait for
// running tasks ends at the deadline of the submission.
func (s *State) stillRunning(t *takeover, r *remote) bool {
	if s.now.Sub(r.collectedAt) >= max(r.row.Deadline, s.Config.CollectTimeout) {
		return false
	}
	for _, held := range t.records[r.row.Key] {
		if held.State == messenger.RecordRunning {
			return true
		}
	}
	return false
}

// outcome builds the outcome of a submission from the agents' records.
func (t *takeover) outcome(r *remote) messenger.Outcome {
	if witnessed, ok := t.witnessed[r.row.Key]; ok {
		return witnessed
	}
	outcome := messenger.Outcome{
		Key:    r.row.Key,
		Status: messenger.OutcomeComplete,
		Digest: r.row.Digest,
	}
	held := t.records[r.row.Key]
	count := r.row.Tasks
	if count == 0 {
		// The call is a query for a ticket, which has no intent row. The number of tasks
		// is unknown, so the submission cannot be proved complete.
		outcome.Status = messenger.OutcomeFailed
	}
	for index := range count {
		task := recordOutcome(held, index)
		if task.State != messenger.TaskSucceeded {
			outcome.Status = messenger.OutcomeFailed
		}
		outcome.Tasks = append(outcome.Tasks, task)
	}
	if outcome.Status == messenger.OutcomeFailed {
		outcome.Reason = "the entry that owned the submission was lost; some tasks may have run"
		dropResults(outcome.Tasks)
	}
	return outcome
}

func recordOutcome(held map[int]agentRecord, index int) messenger.TaskOutcome {
	record, ok := held[index]
	if !ok {
		return messenger.TaskOutcome{
			State: messenger.TaskMayHaveRun, Reason: "no agent that answered has a record of the task",
		}
	}
	switch record.State {
	case messenger.RecordFinished:
		return record.Outcome
	case messenger.RecordTombstoned:
		if !record.StoppedByFence {
			return messenger.TaskOutcome{
				State: messenger.TaskMayHaveRun, Reason: "the owner may have placed the refused task elsewhere",
			}
		}
		return messenger.TaskOutcome{
			State: messenger.TaskNotRun, Reason: "the agent never starts it; the owner was lost",
		}
	case messenger.RecordRunning, messenger.RecordQueued:
	}
	return messenger.TaskOutcome{
		State: messenger.TaskMayHaveRun, Reason: "the task had not ended when the deadline passed",
	}
}

// remoteSettled answers the waiters of a submission that was taken over.
func (s *State) remoteSettled(key messenger.SubmissionKey, outcome messenger.Outcome) {
	r := s.remotes[key]
	if r == nil {
		return
	}
	delete(s.remotes, key)
	for _, w := range r.waiters {
		s.replyOutcome(w, outcome, r.digest())
	}
}

// dropTakeovers removes finished takeovers from memory. A later call for a submission
// of the same owner collects the records again; the agents keep their fences.
func (s *State) dropTakeovers() {
	for _, t := range s.sortedTakeovers() {
		if t.phase == takeoverCollecting && s.now.Sub(t.roundAt) > s.Config.OutcomeRetention && !s.hasRemotes(t) {
			delete(s.takeovers, t.owner)
		}
		if t.phase == takeoverWaiting && !s.hasRemotes(t) {
			delete(s.takeovers, t.owner)
		}
	}
}

func (s *State) hasRemotes(t *takeover) bool {
	for _, r := range s.remotes {
		if r.row.Owner == t.owner {
			return true
		}
	}
	return false
}
