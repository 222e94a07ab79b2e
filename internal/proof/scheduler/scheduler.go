// Package scheduler runs the steps of a simulation in the order of their times on a
// virtual clock.
package scheduler

import (
	"container/heap"
	"time"
)

// Step is a function to call at a given time.
type Step struct {
	At       time.Time
	Do       func()
	sequence uint64
}

// Schedule holds the pending steps. Steps with the same time run in the order in which
// they were added, so that messages of a link are delivered in order.
type Schedule struct {
	steps        stepHeap
	lastSequence uint64
}

// Add schedules a step.
func (s *Schedule) Add(at time.Time, do func()) {
	s.lastSequence++
	heap.Push(&s.steps, Step{At: at, Do: do, sequence: s.lastSequence})
}

// Next removes and returns the earliest step. It returns false if there is no step at or
// before end.
func (s *Schedule) Next(end time.Time) (Step, bool) {
	if len(s.steps) == 0 || s.steps[0].At.After(end) {
		return Step{}, false
	}
	return heap.Pop(&s.steps).(Step), true
}

// RunUntil runs the steps up to end in order, and sets now to the time of each step
// before the step runs.
func (s *Schedule) RunUntil(now *time.Time, end time.Time) {
	for step, more := s.Next(end); more; step, more = s.Next(end) {
		*now = step.At
		step.Do()
	}
}

// stepHeap orders steps by time, for container/heap.
type stepHeap []Step

func (t stepHeap) Len() int { return len(t) }
func (t stepHeap) Less(i, j int) bool {
	if t[i].At.Equal(t[j].At) {
		return t[i].sequence < t[j].sequence
	}
	return t[i].At.Before(t[j].At)
}
func (t stepHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push appends a step; it is called by container/heap.
func (t *stepHeap) Push(x any) { *t = append(*t, x.(Step)) }

// Pop removes and returns the last step; it is called by container/heap.
func (t *stepHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = Step{}
	*t = old[:len(old)-1]
	return last
}
