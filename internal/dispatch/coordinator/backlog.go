package coordinator

import (
	"math"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/placer"
)

// rateWindow is the time over which the rate of work is measured: a few run times
// of the shortest tasks, and far less than a burst.
const rateWindow = 500 * time.Millisecond

// rateHeadroom is how much faster than measured the backlog may be thought to
// shrink.
const rateHeadroom = 1.25

// priorities is the number of priorities.
const priorities = int(messenger.PriorityHigh) + 1

// backlog is the work of a class that waits here and that is under way.
type backlog struct {
	// waiting is in milli-core seconds, by priority.
	waiting [priorities]float64
	// waitingMilli is the size of the tasks that wait, in thousandths of a core.
	waitingMilli int
	// waitingSince is when tasks began to wait without a pause.
	waitingSince time.Time
	// running is the size of the tasks that are under way, in thousandths of a core.
	running int
	// done is the work that was done lately, fading with rateWindow, as of doneAt.
	done   float64
	doneAt time.Time
}

func milliOf(t *task) int {
	if size := t.job.submission.Tasks[t.index].Size.MilliCPU; size > 0 {
		return size
	}
	return placer.SlotMilliCPU
}

// workOf is the declared work of a task, in milli-core seconds.
func workOf(t *task) float64 {
	return float64(milliOf(t)) * t.job.submission.Tasks[t.index].DeclaredRunTime.Seconds()
}

// finished notes that a task was done.
func (b *backlog) finished(now time.Time, t *task) {
	b.done = b.fading(now) + workOf(t)
	b.doneAt = now
}

func (b *backlog) fading(now time.Time) float64 {
	return b.done * math.Exp(-now.Sub(b.doneAt).Seconds()/rateWindow.Seconds())
}

func (b *backlog) wait(now time.Time, t *task) {
	if b.waitingMilli == 0 {
		b.waitingSince = now
	}
	t.work = workOf(t)
	b.waiting[t.job.submission.Priority] += t.work
	b.waitingMilli += milliOf(t)
}

func (b *backlog) leave(t *task) {
	b.waiting[t.job.submission.Priority] = max(0, b.waiting[t.job.submission.Priority]-t.work)
	t.work = 0
	b.waitingMilli -= milliOf(t)
}

func (b *backlog) sent(t *task)     { b.running += milliOf(t) }
func (b *backlog) returned(t *task) { b.running = max(0, b.running-milliOf(t)) }

// delay is how long a task of a priority is expected to wait. While tasks wait,
// this entry's share of the endpoints is in use, so what runs bounds the rate at
// which its backlog shrinks. What is done lately bounds it as well: orders may hang,
// runs fail, and endpoints be slower than declared. Before tasks have waited for
// rateWindow, the measured rate is that of a lower load and says nothing.
func (b *backlog) delay(now time.Time, priority messenger.Priority) time.Duration {
	var ahead float64
	for p := priority; p <= messenger.PriorityHigh; p++ {
		ahead += b.waiting[p]
	}
	rate := float64(b.running)
	if now.Sub(b.waitingSince) >= rateWindow {
		rate = min(rate, rateHeadroom*b.fading(now)/rateWindow.Seconds())
	}
	return time.Duration(ahead / max(rate, placer.SlotMilliCPU) * float64(time.Second))
}
