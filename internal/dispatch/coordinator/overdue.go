package coordinator

import (
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

const (
	// overdueFactor is the multiple of its expected run time after which a volatile
	// task is moved, if its endpoint has completed no task since the task was sent.
	// Declared run times are off by 40% and run times within one queue differ by a
	// factor of up to 4, so the run time alone does not show that a task is stuck.
	overdueFactor = 3
	// overdueGrace covers the time of the messages and of the queue at the agent.
	overdueGrace = 150 * time.Millisecond
	// overdueCheckInterval is the time between two checks of the running tasks.
	overdueCheckInterval = 100 * time.Millisecond
)

// overdueAt returns when a task that is sent now counts as stuck, or the zero time for a
// task that may not be moved.
func (s *State) overdueAt(t *task, a *agent) time.Time {
	if !t.job.submission.Volatile {
		return time.Time{}
	}
	key := t.job.submission.Key
	declared := t.job.submission.Tasks[t.index].DeclaredRunTime
	expected := max(declared, s.index.Expected(key.Firm, key.Service, declared))
	expected = time.Duration(float64(expected) * s.index.RunTimeFactor(a.name))
	return s.now.Add(overdueFactor*expected + overdueGrace)
}

// moveOverdue cancels the runs at endpoints that make no progress, so that their tasks
// run elsewhere. Some endpoints announce themselves and then let tasks hang.
func (s *State) moveOverdue() {
	if s.now.Sub(s.overdueCheckedAt) < overdueCheckInterval {
		return
	}
	s.overdueCheckedAt = s.now
	for _, a := range s.sortedAgents {
		for _, key := range a.overdueCopies(s.now) {
			s.moveIfOverdue(a.sent[key], key.attempt)
		}
	}
}

// overdueCopies returns the attempts that are overdue at an agent, in a fixed order.
func (a *agent) overdueCopies(now time.Time) []copyKey {
	var overdue []copyKey
	for key, t := range a.sent {
		if i := t.copyOf(key.attempt); i >= 0 && t.copies[i].isOverdue(now) {
			overdue = append(overdue, key)
		}
	}
	slices.SortFunc(overdue, compareCopies)
	return overdue
}

func (c *sentCopy) isOverdue(now time.Time) bool {
	return !c.overdueAt.IsZero() && !c.cancelSent && !now.Before(c.overdueAt)
}

func (s *State) moveIfOverdue(t *task, attempt int) {
	i := t.copyOf(attempt)
	if i < 0 || t.job.stopReason != "" {
		return
	}
	sent := &t.copies[i]
	if sent.agent.lastSuccessAt.After(sent.at) {
		// The endpoint makes progress, so the task is only a long one.
		return
	}
	sent.cancelSent, sent.overdue = true, true
	s.counters.Overdue++
	s.emit(Decision{
		Kind: DecisionOverdue, Submission: t.job.submission.Key, Task: t.index, Attempt: attempt,
		Endpoint: sent.agent.name, Reason: "runs for " + s.now.Sub(sent.at).String(),
	})
	s.sendCancel(t, sent)
}

// endedAsOverdue reports whether a run was interrupted because it was overdue.
func (s *State) endedAsOverdue(t *task, m messenger.Finished) bool {
	i := t.copyOf(m.Attempt)
	return i >= 0 && t.copies[i].overdue && m.Outcome.State == messenger.TaskInterrupted
}
