package coordinator

import (
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

const (
	// overdueFactor is how many times its expected run time a volatile task may
	// take, at an endpoint that has finished nothing since, before it is moved.
	// Declared times are wrong by 40% and run times of one queue differ by up to 4
	// times, so that the time alone says little.
	overdueFactor = 3
	// overdueGrace covers the messages and the queue at the agent.
	overdueGrace = 150 * time.Millisecond
	// overdueEvery is the time between two looks at the running tasks.
	overdueEvery = 100 * time.Millisecond
)

// overdueAt returns when a task that is sent now is taken for stuck, or zero for
// one that may not be moved.
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

// moveOverdue ends the runs at endpoints that stand still, so that their tasks run
// elsewhere: some endpoints announce themselves and let tasks hang.
func (s *State) moveOverdue() {
	if s.now.Sub(s.overdueLooked) < overdueEvery {
		return
	}
	s.overdueLooked = s.now
	for _, a := range s.sorted {
		for _, key := range a.overdueCopies(s.now) {
			s.moveIfOverdue(a.sent[key], key.attempt)
		}
	}
}

// overdueCopies returns what has been at an agent for too long, in a fixed order.
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

func (c *copySent) isOverdue(now time.Time) bool {
	return !c.overdueAt.IsZero() && !c.cancelSent && !now.Before(c.overdueAt)
}

func (s *State) moveIfOverdue(t *task, attempt int) {
	i := t.copyOf(attempt)
	if i < 0 || t.job.stopReason != "" {
		return
	}
	sent := &t.copies[i]
	if sent.agent.succeededAt.After(sent.at) {
		// The endpoint works: the task is a long one.
		return
	}
	sent.cancelSent, sent.overdue = true, true
	s.counters.Overdue++
	s.emit(Decision{
		Kind: DecisionOverdue, Submission: t.job.submission.Key, Task: t.index, Attempt: attempt,
		Endpoint: sent.agent.name, Reason: "runs for " + s.now.Sub(sent.at).String(),
	})
	s.send(sent.agent.incarnation, messenger.Cancel{Task: t.key(), Attempt: attempt})
}

// tookTooLong tells whether a run was ended because it was overdue.
func (s *State) tookTooLong(t *task, m messenger.Finished) bool {
	i := t.copyOf(m.Attempt)
	return i >= 0 && t.copies[i].overdue && m.Outcome.State == messenger.TaskInterrupted
}
