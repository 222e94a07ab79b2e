// Package scheduler orders the steps of a run on a virtual clock.
package scheduler

import (
	"container/heap"
	"time"
)

// Step is something to do at a time.
type Step struct {
	At       time.Time
	Do       func()
	sequence uint64
}

// Schedule holds the steps to come. Steps at the same time keep the order in
// which they were added, so that links deliver in order.
type Schedule struct {
	steps timeline
	added uint64
}

// Add schedules a step.
func (s *Schedule) Add(at time.Time, do func()) {
	s.added++
	heap.Push(&s.steps, Step{At: at, Do: do, sequence: s.added})
}

// Next removes and returns the earliest step, and false if there is none up to
// the end.
func (s *Schedule) Next(end time.Time) (Step, bool) {
	if len(s.steps) == 0 || s.steps[0].At.After(end) {
		return Step{}, false
	}
	return heap.Pop(&s.steps).(Step), true
}

// Play does the steps up to the end in order, and sets now to the time of each.
func (s *Schedule) Play(now *time.Time, end time.Time) {
	for step, more := s.Next(end); more; step, more = s.Next(end) {
		*now = step.At
		step.Do()
	}
}

// timeline orders steps by time for container/heap.
type timeline []Step

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	if t[i].At.Equal(t[j].At) {
		return t[i].sequence < t[j].sequence
	}
	return t[i].At.Before(t[j].At)
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push adds a step; container/heap calls it.
func (t *timeline) Push(x any) { *t = append(*t, x.(Step)) }

// Pop removes the last step; container/heap calls it.
func (t *timeline) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = Step{}
	*t = old[:len(old)-1]
	return last
}
