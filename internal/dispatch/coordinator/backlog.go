package coordinator

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// slotMilliCPU is what a task without a stated size counts for.
const slotMilliCPU = 1000

// priorities is the number of priorities.
const priorities = int(messenger.PriorityHigh) + 1

// backlog is the work of a class that waits here and that is under way.
type backlog struct {
	// waiting is in milli-core seconds, by priority.
	waiting [priorities]float64
	// waitingMilli is the size of the tasks that wait, in thousandths of a core.
	waitingMilli int
	// running is the size of the tasks that are under way, in thousandths of a core.
	running int
}

func milliOf(t *task) int {
	if size := t.job.submission.Tasks[t.index].Size.MilliCPU; size > 0 {
		return size
	}
	return slotMilliCPU
}

func (b *backlog) wait(t *task) {
	t.work = float64(milliOf(t)) * t.job.submission.Tasks[t.index].DeclaredRunTime.Seconds()
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
// this entry's share of the endpoints is in use, so what runs is also the rate at
// which its backlog shrinks.
func (b *backlog) delay(priority messenger.Priority) time.Duration {
	var ahead float64
	for p := priority; p <= messenger.PriorityHigh; p++ {
		ahead += b.waiting[p]
	}
	return time.Duration(ahead / float64(max(b.running, slotMilliCPU)) * float64(time.Second))
}
