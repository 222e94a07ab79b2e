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
	// open counts the tasks that have no final state yet.
	open       int
	arrival    uint64
	admittedAt time.Time
	deadlineAt time.Time
	// expired is true once the deadline has passed; graceEnd is then the end of
	// the wait for the agents' answers.
	expired  bool
	graceEnd time.Time
	// stopReason is set once the job can only fail; no further task starts.
	stopReason string
	// resultBytes is the size of the results so far.
	resultBytes int
	// failure is set if the job fails although no task has.
	failure    string
	outcome    messenger.Outcome
	settlingAt time.Time
	settledAt  time.Time
	// witnesses were asked to keep the outcome; accepted of them do.
	witnesses []messenger.Incarnation
	accepted  []messenger.Incarnation
	// told is true once the waiters have been answered.
	told bool
	// rowRefused is true once the table has refused the outcome row for good.
	rowRefused bool
	// pending is true while the job is counted as one of which nothing was sent.
	pending bool
	// givenUp is true of a volatile job that ended without an outcome.
	givenUp bool
	// successors are submissions of the same id that wait until every copy of a
	// given-up job has ended.
	successors []successor
	// objective is the latency that the queue of a volatile job promises.
	objective objective
	// openIn counts, for each step, the tasks that have not succeeded.
	openIn []int
	// unrecorded says why the table takes no outcome row at all.
	unrecorded string
}

// taskPhase is where a task is on its way.
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
	copies  []copySent
	class   *class
	outcome messenger.TaskOutcome
	// earlier is how the last attempt ended that ran or may have run.
	earlier messenger.TaskOutcome
	hedged  bool
	// work is what the task adds to the backlog while it waits.
	work float64
	// failures counts the failed attempts of a volatile task.
	failures int
	// failedAt names the endpoints where it has failed or hung.
	failedAt []string
}

// copySent is one attempt that an agent has been asked to start and has not
// answered. A task that is not repeatable has at most one.
type copySent struct {
	attempt    int
	agent      *agent
	at         time.Time
	cancelSent bool
	// overdueAt is when a volatile task is taken for stuck at its endpoint.
	overdueAt time.Time
	overdue   bool
}

func (t *task) key() messenger.TaskKey {
	return messenger.TaskKey{Submission: t.job.submission.Key, Index: t.index}
}

// unstarted is the outcome of a task whose last attempt did not start. An
// earlier attempt of a repeatable task may have run; then that is the outcome.
func (t *task) unstarted(reason string) messenger.TaskOutcome {
	if t.earlier.State != "" {
		return t.earlier
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
	for i := range j.tasks {
		j.tasks[i] = task{job: j, index: i}
	}
	s.jobs[submission.Key] = j
	return j
}

// expiresAt is the next moment at which the job's time runs out.
func (j *job) expiresAt() time.Time {
	if j.expired {
		return j.graceEnd
	}
	return j.deadlineAt
}

// findTask returns the live task of a key, or nil.
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
