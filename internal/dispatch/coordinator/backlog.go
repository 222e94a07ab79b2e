package coordinator

import (
	"math"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/placer"
)

// rateWindow is the time over which the completion rate is measured: a few run times of
// the shortest tasks, and far shorter than a burst of submissions.
const rateWindow = 500 * time.Millisecond

// rateHeadroom is the factor by which the assumed completion rate may exceed the measured
// rate.
const rateHeadroom = 1.25

const priorities = int(messenger.PriorityHigh) + 1

// backlog is the work of a class that waits at this entry or is running at agents.
type backlog struct {
	// waiting is the declared work of the waiting tasks by priority, in milli-core seconds.
	waiting [priorities]float64
	// waitingMilliCPU is the size of the waiting tasks, in thousandths of a core.
	waitingMilliCPU int
	// waitingSince is the start of the current period in which tasks wait all the time.
	waitingSince time.Time
	// runningMilliCPU is the size of the sent attempts without a result, in thousandths
	// of a core.
	runningMilliCPU int
	// completedWork is the recently completed work in milli-core seconds, as of
	// completedAt. It decays exponentially with the time constant rateWindow.
	completedWork float64
	completedAt   time.Time
}

func milliCPUOf(t *task) int {
	if size := t.job.submission.Tasks[t.index].Size.MilliCPU; size > 0 {
		return size
	}
	return placer.SlotMilliCPU
}

// workOf is the declared work of a task, in milli-core seconds.
func workOf(t *task) float64 {
	return float64(milliCPUOf(t)) * t.job.submission.Tasks[t.index].DeclaredRunTime.Seconds()
}

// taskCompleted adds the work of a task that has succeeded.
func (b *backlog) taskCompleted(now time.Time, t *task) {
	b.completedWork = b.decayedWork(now) + workOf(t)
	b.completedAt = now
}

func (b *backlog) decayedWork(now time.Time) float64 {
	return b.completedWork * math.Exp(-now.Sub(b.completedAt).Seconds()/rateWindow.Seconds())
}

func (b *backlog) taskEnqueued(now time.Time, t *task) {
	if b.waitingMilliCPU == 0 {
		b.waitingSince = now
	}
	t.work = workOf(t)
	b.waiting[t.job.submission.Priority] += t.work
	b.waitingMilliCPU += milliCPUOf(t)
}

func (b *backlog) taskDequeued(t *task) {
	b.waiting[t.job.submission.Priority] = max(0, b.waiting[t.job.submission.Priority]-t.work)
	t.work = 0
	b.waitingMilliCPU -= milliCPUOf(t)
}

func (b *backlog) attemptSent(t *task)  { b.runningMilliCPU += milliCPUOf(t) }
func (b *backlog) attemptEnded(t *task) { b.runningMilliCPU = max(0, b.runningMilliCPU-milliCPUOf(t)) }

// delay returns the expected wait of a new task of the given priority.
func (b *backlog) delay(now time.Time, priority messenger.Priority) time.Duration {
	var ahead float64
	for p := priority; p <= messenger.PriorityHigh; p++ {
		ahead += b.waiting[p]
	}
	return time.Duration(ahead / b.rate(now) * float64(time.Second))
}

// rate returns the rate at which the backlog shrinks, in milli-cores. While tasks wait,
// this entry's share of the endpoints is fully used, so the size of the running tasks is
// an upper bound of the rate. The measured completion rate is another upper bound,
// because start messages may hang, runs may fail, and endpoints may be slower than
// declared. The measured rate is ignored until tasks have waited for rateWindow, because
// before that it reflects a period of lower load.
func (b *backlog) rate(now time.Time) float64 {
	rate := float64(b.runningMilliCPU)
	if now.Sub(b.waitingSince) >= rateWindow {
		rate = min(rate, rateHeadroom*b.decayedWork(now)/rateWindow.Seconds())
	}
	return max(rate, placer.SlotMilliCPU)
}
