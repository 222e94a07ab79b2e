package placer

import (
	"container/heap"
	"time"
)

// timer is a time at which a member's state changes without a call: the end of an
// ejection or a step of the ramp-up.
type timer struct {
	at     time.Time
	seq    uint64
	member *member
	id     uint64
}

// timerHeap orders timers by time, then by creation, so that the order depends only
// on the calls made.
type timerHeap []timer

func (h timerHeap) Len() int      { return len(h) }
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

// Push implements heap.Interface.
func (h *timerHeap) Push(v any) { *h = append(*h, v.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	v := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return v
}

// schedule replaces the member's timer.
func (x *Index) schedule(at time.Time, m *member) {
	m.timerID++
	x.timerSeq++
	heap.Push(&x.timers, timer{at: at, seq: x.timerSeq, member: m, id: m.timerID})
}

// advance applies all timers that are due.
func (x *Index) advance(now time.Time) {
	x.now = now
	for len(x.timers) > 0 && !x.timers[0].at.After(now) {
		due := heap.Pop(&x.timers).(timer)
		if due.id == due.member.timerID {
			x.fire(now, due.member)
		}
	}
}

func (x *Index) fire(now time.Time, m *member) {
	if m.phase == phaseEjected {
		x.probe(m)
	} else if m.ramping {
		x.scheduleRamp(now, m)
	}
	x.refresh(m)
}
