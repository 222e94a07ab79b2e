package coordinator

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

const (
	// tooLateFactor is the multiple of its objective after which the answer to a job is
	// useless to the caller.
	tooLateFactor = 3
	// admissionSlackShare is the share of the slack that the expected wait may use at
	// admission. The rest covers run times that are longer than declared.
	admissionSlackShare = 0.5
	// maxRetryJitter bounds the random part of the retry-after time, which keeps
	// refused callers from retrying at the same time.
	maxRetryJitter = 2 * time.Second
)

// objective is the target latency of a job in its queue.
type objective struct {
	// criticalPath is the declared run time of the longest chain of steps.
	criticalPath time.Duration
	// latency is the target; zero if the queue has none.
	latency time.Duration
}

// slack is how long a job may wait without missing its objective.
func (o objective) slack() time.Duration { return o.latency - o.criticalPath }

// admissionSlack is the longest expected wait at which a job is admitted as on time.
func (o objective) admissionSlack() time.Duration {
	return time.Duration(admissionSlackShare * float64(o.slack()))
}

// objectiveOf returns the objective of a submission in a queue.
func objectiveOf(queue resolver.Queue, submission messenger.Submission) objective {
	o := objective{criticalPath: criticalPathOf(submission)}
	if queue.StretchFactor > 0 {
		stretched := float64(o.criticalPath) * queue.StretchFactor
		o.latency = time.Duration(stretched) + time.Duration(queue.TargetLatency)
	}
	return o
}

// criticalPathOf returns the declared run time of the longest chain of steps that follow
// each other. A step takes as long as its longest task.
func criticalPathOf(submission messenger.Submission) time.Duration {
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

// overloaded returns the expected wait of a job behind the work that comes first, and
// whether that wait would make it miss its objective. Refusing such a job at admission
// leaves the endpoints to jobs that can still be on time, and its caller learns of it
// at once.
func (s *State) overloaded(j *job) (time.Duration, bool) {
	if j.objective.latency == 0 {
		return 0, false
	}
	var delay time.Duration
	var checked *class
	for i := range j.tasks {
		c := s.classOf(j, j.submission.Tasks[i].Labels)
		if c == checked {
			// The tasks of a step need the same labels and belong to the same class.
			continue
		}
		checked = c
		if s.hasRoomFor(j, c) {
			// The waiting tasks are held back for faster endpoints, not for lack of room.
			continue
		}
		delay = max(delay, c.delay(s.now, j.submission.Priority))
	}
	delay += lagsPerJob * s.lag()
	return delay, delay > j.objective.admissionSlack()
}

// hasRoomFor reports whether the endpoints of a class have, by this entry's estimate,
// room for the job in addition to all tasks that wait here for them.
func (s *State) hasRoomFor(j *job, c *class) bool {
	needed := c.waitingMilliCPU
	for i := range j.tasks {
		needed += milliCPUOf(&j.tasks[i])
	}
	return s.index.FreeMilliCPU(c.key.firm, c.key.service, c.labels) >= needed
}

// retryAfter returns the time after which a refused caller should retry: the expected
// wait plus a random jitter.
func (s *State) retryAfter(delay time.Duration) time.Duration {
	jitter := min(max(delay, s.Config.RetryAfter), maxRetryJitter)
	return max(delay, s.Config.RetryAfter) + time.Duration(s.Random.Int64N(int64(jitter)))
}

// refuseTooLate gives up waiting jobs of which nothing has started and whose answer would
// come too late to be useful.
func (s *State) refuseTooLate() {
	for _, c := range s.order {
		for item, waits := c.queue.Peek(s.now, s.Random); waits; item, waits = c.queue.Peek(s.now, s.Random) {
			t := s.findTask(item.Task)
			if !s.isTooLate(t.job) {
				break
			}
			s.giveUp(t.job, "the answer would come too late to be worth anything")
		}
	}
	for _, b := range s.lateBacklogs {
		s.refuseTooLateFrom(b)
	}
}

// isTooLate reports whether a job that has not started would take longer than
// tooLateFactor times its objective.
func (s *State) isTooLate(j *job) bool {
	if !j.submission.Volatile || j.objective.latency == 0 || j.mayHaveStarted() {
		return false
	}
	return s.now.Sub(j.admittedAt)+j.objective.criticalPath > tooLateFactor*j.objective.latency
}
