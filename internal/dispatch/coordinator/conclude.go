package coordinator

import (
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// conclude decides the outcomes of the replaced owner's submissions that
// somebody waits for, once the agents have answered.
func (s *State) conclude(t *takeover) {
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
		s.emit(CommitOutcome{Outcome: s.takenOutcome(t, r)})
	}
}

// endRound ends a round that all agents have answered, or whose time is over. It
// returns true if there are submissions to ask for in another round.
func (s *State) endRound(t *takeover) bool {
	if len(t.awaiting) > 0 && s.now.Sub(t.roundAt) < s.Config.CollectPatience {
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

// stillRunning waits for running tasks up to the deadline of the submission.
func (s *State) stillRunning(t *takeover, r *remote) bool {
	if s.now.Sub(r.collectedAt) >= max(r.row.Deadline, s.Config.CollectPatience) {
		return false
	}
	for _, held := range t.records[r.row.Key] {
		if held.State == messenger.RecordRunning {
			return true
		}
	}
	return false
}

// outcome builds the outcome of a submission from what the agents hold.
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
		// A query for a ticket: the number of tasks is unknown, so nothing can be
		// proved complete.
		outcome.Status = messenger.OutcomeFailed
	}
	for index := range count {
		task := heldOutcome(held, index)
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

func heldOutcome(held map[int]agentRecord, index int) messenger.TaskOutcome {
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

// remoteSettled tells the outcome row of a submission that was taken over.
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

// forgetTakeovers drops finished takeovers. A later call for the same owner
// collects again; the agents' fences stay.
func (s *State) forgetTakeovers() {
	for _, t := range s.sortedTakeovers() {
		if t.phase == takeoverCollecting && s.now.Sub(t.roundAt) > s.Config.OutcomeCache && !s.needed(t) {
			delete(s.takeovers, t.owner)
		}
		if t.phase == takeoverWaiting && !s.needed(t) {
			delete(s.takeovers, t.owner)
		}
	}
}

func (s *State) needed(t *takeover) bool {
	for _, r := range s.remotes {
		if r.row.Owner == t.owner {
			return true
		}
	}
	return false
}
