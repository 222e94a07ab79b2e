package coordinator

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

const (
	// worthlessAfter is how many times its objective a job may take before its
	// answer is worth nothing to the caller.
	worthlessAfter = 3
	// admittedSlack is the share of the slack that the expected wait may take. The
	// rest covers run times that are longer than declared.
	admittedSlack = 0.5
	// maxRetrySpread bounds the spread of the times at which refused callers come
	// back, so that they do not come together.
	maxRetrySpread = 2 * time.Second
)

// objective is a latency that a queue promises for a job.
type objective struct {
	// chain is the declared run time of the longest chain of tasks.
	chain time.Duration
	// latency is the promise; zero if the queue makes none.
	latency time.Duration
}

// slack is how long a job may wait without missing its objective.
func (o objective) slack() time.Duration { return o.latency - o.chain }

// objectiveOf returns the promise of the queue for a submission.
func objectiveOf(queue resolver.Queue, submission messenger.Submission) objective {
	o := objective{chain: longestChain(submission)}
	if queue.StretchFactor > 0 {
		stretched := float64(o.chain) * queue.StretchFactor
		o.latency = time.Duration(stretched) + time.Duration(queue.TargetLatency)
	}
	return o
}

// longestChain is the declared run time of the steps that follow each other, each
// by its longest task.
func longestChain(submission messenger.Submission) time.Duration {
	steps := make([]time.Duration, max(1, len(submission.After)))
	for _, spec := range submission.Tasks {
		steps[spec.Position.Step] = max(steps[spec.Position.Step], spec.DeclaredRunTime)
	}
	var longest time.Duration
	for step := range steps {
		var before time.Duration
		if step < len(submission.After) {
			for _, earlier := range submission.After[step] {
				before = max(before, steps[earlier])
			}
		}
		steps[step] += before
		longest = max(longest, steps[step])
	}
	return longest
}

// overloaded tells whether a job would miss its objective by waiting behind the
// work that comes first, and how long that work will take. Refusing it now leaves
// the endpoints to jobs that can still be on time, and its caller knows at once.
func (s *State) overloaded(j *job) (time.Duration, bool) {
	if j.objective.latency == 0 {
		return 0, false
	}
	var delay time.Duration
	var checked *class
	for i := range j.tasks {
		c := s.classOf(j, j.submission.Tasks[i].Labels)
		if c == checked {
			// The tasks of a step ask for the same labels.
			continue
		}
		checked = c
		if s.hasRoomFor(j, c) {
			// What waits is held back for faster endpoints.
			continue
		}
		delay = max(delay, c.delay(s.now, j.submission.Priority))
	}
	delay += lagPasses * s.lag()
	return delay, delay > time.Duration(admittedSlack*float64(j.objective.slack()))
}

// hasRoomFor tells whether the endpoints of a class are thought to have room for
// the job beside everything that waits for them here.
func (s *State) hasRoomFor(j *job, c *class) bool {
	needed := c.waitingMilli
	for i := range j.tasks {
		needed += milliOf(&j.tasks[i])
	}
	return s.index.FreeMilliCPU(c.key.firm, c.key.service, c.labels) >= needed
}

// retryAfter tells a refused caller to come back when the backlog has gone, and
// spreads the callers.
func (s *State) retryAfter(delay time.Duration) time.Duration {
	spread := min(max(delay, s.Config.RetryAfter), maxRetrySpread)
	return max(delay, s.Config.RetryAfter) + time.Duration(s.Random.Int64N(int64(spread)))
}

// refuseWorthless gives up the jobs of which nothing has started and whose answer
// would come too late to be worth anything.
func (s *State) refuseWorthless() {
	for _, c := range s.order {
		for item, waits := c.queue.Peek(s.now, s.Random); waits; item, waits = c.queue.Peek(s.now, s.Random) {
			t := s.findTask(item.Task)
			if !s.isWorthless(t.job) {
				break
			}
			s.giveUp(t.job, "the answer would come too late to be worth anything")
		}
	}
}

func (s *State) isWorthless(j *job) bool {
	if !j.submission.Volatile || j.objective.latency == 0 || j.mayHaveStarted() {
		return false
	}
	return s.now.Sub(j.admittedAt)+j.objective.chain > worthlessAfter*j.objective.latency
}
