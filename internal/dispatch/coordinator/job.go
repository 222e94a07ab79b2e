package coordinator

import (
	"time"

	"github.com/looplab/fsm"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// job is a submission that this entry owns or is about to own.
type job struct {
	submission messenger.Submission
	settings   resolver.Resolved
	lifeCycle  *fsm.FSM
	ticket     bool
	waiters    []waiter
	tasks      []task
	// open is the number of tasks without a final state.
	open       int
	arrival    uint64
	admittedAt time.Time
	deadlineAt time.Time
	// expired is true once the deadline has passed. The agents' answers are then awaited
	// until graceEnd.
	expired  bool
	graceEnd time.Time
	// stopReason is set once the job can only fail; no further task starts.
	stopReason string
	// resultBytes is the total size of the results received so far.
	resultBytes int
	// failureReason is the reason why the job fails although none of its tasks has failed.
	failureReason string
	outcome       messenger.Outcome
	settlingAt    time.Time
	settledAt     time.Time
	// witnesses are the agents asked to keep the outcome; accepted lists those that have
	// confirmed to keep it.
	witnesses []messenger.Incarnation
	accepted  []messenger.Incarnation
	// answered is true once the waiters have been answered.
	answered bool
	// rowRefused is true once the store has permanently rejected the outcome row.
	rowRefused bool
	// pending is true while the job is counted in State.pending: none of its tasks has
	// been sent.
	pending bool
	// givenUp is true if a volatile job ended without an outcome.
	givenUp bool
	// successors are submissions of the same id that wait until every attempt of a
	// given-up job has ended.
	successors []successor
	// objective is the latency objective of a volatile job's queue.
	objective objective
	// late is the job's place in lateBacklog; nil unless it was admitted late.
	late        *lateJob
	lateBacklog *lateBacklog
	// firstAttempt is the number of the first attempt of each task.
	firstAttempt int
	// openByStep is the number of tasks of each step that have not succeeded.
	openByStep []int
	// unrecordedReason is the reason why no outcome row can be written for the job.
	unrecordedReason string
}

// taskPhase is the progress of a task.
type taskPhase uint8

const (
	taskNew taskPhase = iota
	taskWaiting
	taskSent
	taskDone
)

type task struct {
	job     *job
	index   int
	phase   taskPhase
	attempt int
	copies  []sentCopy
	class   *class
	outcome messenger.TaskOutcome
	// earlierOutcome is the outcome of the last attempt that has run or may have run.
	earlierOutcome messenger.TaskOutcome
	hedged         bool
	// work is the task's share of its class's backlog while the task waits, in
	// milli-core seconds.
	work float64
	// failures counts the failed attempts of a volatile task.
	failures int
	// failedAt lists the endpoints where the task has failed or hung.
	failedAt []string
}

// sentCopy is one outstanding attempt: its start was sent to an agent, which has not
// reported its end. A task that is not repeatable has at most one outstanding attempt.
type sentCopy struct {
	attempt int
	agent   *agent
	at      time.Time
	// reportSequence is that of the agent's last report when the start was first sent.
	reportSequence uint64
	cancelSent     bool
	// overdueAt is when a volatile task counts as stuck at its endpoint.
	overdueAt time.Time
	overdue   bool
}

// readyMilliCPU is the size of the tasks that can be sent at admission.
func (j *job) readyMilliCPU() int {
	size := 0
	for i := range j.tasks {
		if !j.blocked(&j.tasks[i]) {
			size += milliCPUOf(&j.tasks[i])
		}
	}
	return size
}

func (t *task) key() messenger.TaskKey {
	return messenger.TaskKey{Submission: t.job.submission.Key, Index: t.index}
}

// notStartedOutcome returns the outcome of a task whose last attempt did not start. If an
// earlier attempt has run or may have run, the outcome is that of the earlier attempt.
func (t *task) notStartedOutcome(reason string) messenger.TaskOutcome {
	if t.earlierOutcome.State != "" {
		return t.earlierOutcome
	}
	return messenger.TaskOutcome{State: messenger.TaskNotRun, Reason: reason}
}

func (t *task) copyOf(attempt int) int {
	for i := range t.copies {
		if t.copies[i].attempt == attempt {
			return i
		}
	}
	return -1
}

func (s *State) newJob(submission messenger.Submission, settings resolver.Resolved) *job {
	s.arrivals++
	j := &job{
		submission: submission,
		settings:   settings,
		lifeCycle:  newJobLifeCycle(),
		tasks:      make([]task, len(submission.Tasks)),
		open:       len(submission.Tasks),
		arrival:    s.arrivals,
		admittedAt: s.now,
		deadlineAt: s.now.Add(submission.Deadline),
	}
	if submission.Volatile {
		j.firstAttempt = s.usedAttempts[submission.Key].next
	}
	for i := range j.tasks {
		j.tasks[i] = task{job: j, index: i, attempt: j.firstAttempt}
	}
	s.jobs[submission.Key] = j
	return j
}

// expiresAt returns the job's deadline, or after the deadline the end of the grace
// period.
func (j *job) expiresAt() time.Time {
	if j.expired {
		return j.graceEnd
	}
	return j.deadlineAt
}

// findTask returns the task of a key, or nil if its job is not in memory.
func (s *State) findTask(key messenger.TaskKey) *task {
	j := s.jobs[key.Submission]
	if j == nil || key.Index < 0 || key.Index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[key.Index]
}

// deadlineHeap orders jobs by deadline for container/heap.
type deadlineHeap []*job

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].expiresAt().Before(h[j].expiresAt()) }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a job; container/heap calls it.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop removes the last job; container/heap calls it.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
