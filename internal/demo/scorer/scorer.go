// Package scorer computes the three measures of the design page: response time
// over ideal, wasted messages per start, and the work completed around the take-out
// and bring-back of a failure domain.
package scorer

import (
	"slices"
	"time"
)

// Task is one task with its true run time on an endpoint of speed 1.
type Task struct {
	RunTime time.Duration
}

// Job is a submission with its arrival time since the start of the load.
type Job struct {
	ID       string
	Arrival  time.Duration
	Priority int
	Tasks    []Task
}

// Window is a period in which a slot may not start tasks.
type Window struct {
	From, To time.Duration
}

// Slot is one slot of an endpoint.
type Slot struct {
	// Speed divides run times: 0.25 makes a task take four times as long.
	Speed  float64
	Closed []Window
}

// Delays are the message delays that the ideal response time includes.
type Delays struct {
	// ClientRoundTrip is between a caller and an entry.
	ClientRoundTrip time.Duration
	// EndpointRoundTrip is between an entry and an endpoint.
	EndpointRoundTrip time.Duration
}

// Schedule is the ideal schedule.
type Schedule struct {
	// Response is the ideal response time of each job, in the order of the jobs.
	Response []time.Duration
	// Finished lists the end of each task with its run time on speed 1.
	Finished []Work
}

// Work is a finished task: its end, and its run time on speed 1.
type Work struct {
	At      time.Duration
	RunTime time.Duration
}

// waitingTask is a task that has arrived and that the schedule has not started.
type waitingTask struct {
	job     int
	runTime time.Duration
}

// Ideal computes an offline list schedule that knows all run times: it takes the
// tasks in the order of priority, arrival and run time (longest first) and places
// each on the slot on which it ends earliest, without message or store delays. The
// response times include the given delays.
func Ideal(jobs []Job, slots []Slot, delays Delays) Schedule {
	s := newSchedule(jobs, slots)
	for s.advance() {
		continue
	}
	result := Schedule{Response: make([]time.Duration, len(jobs)), Finished: s.finished}
	for i := range jobs {
		result.Response[i] = s.end[i] - jobs[i].Arrival + delays.ClientRoundTrip + delays.EndpointRoundTrip
	}
	return result
}

type schedule struct {
	jobs     []Job
	slots    []Slot
	order    []int
	arrived  int
	freeAt   []time.Duration
	queue    []waitingTask
	now      time.Duration
	end      []time.Duration
	finished []Work
}

func newSchedule(jobs []Job, slots []Slot) *schedule {
	s := &schedule{
		jobs:   jobs,
		slots:  slots,
		order:  make([]int, len(jobs)),
		freeAt: make([]time.Duration, len(slots)),
		end:    make([]time.Duration, len(jobs)),
	}
	for i := range jobs {
		s.order[i] = i
		s.end[i] = jobs[i].Arrival
	}
	slices.SortStableFunc(s.order, func(a, b int) int { return compare(jobs[a].Arrival, jobs[b].Arrival) })
	return s
}

func compare[T ~int | ~int64](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// advance moves to the next time at which a job arrives or a slot may start a task,
// and places tasks. It reports false once every task is placed.
func (s *schedule) advance() bool {
	next, ok := s.nextEvent()
	if !ok {
		return false
	}
	s.now = next
	s.enqueueArrivals()
	s.place()
	return true
}

func (s *schedule) nextEvent() (time.Duration, bool) {
	found := false
	var next time.Duration
	consider := func(at time.Duration) {
		if !found || at < next {
			next, found = at, true
		}
	}
	if s.arrived < len(s.order) {
		consider(s.jobs[s.order[s.arrived]].Arrival)
	}
	if len(s.queue) > 0 {
		for i := range s.slots {
			if at := s.usableFrom(i, s.freeAt[i]); at > s.now {
				consider(at)
			}
		}
	}
	return next, found
}

// usableFrom returns the earliest time, not before at, at which a slot may start a task.
func (s *schedule) usableFrom(slot int, at time.Duration) time.Duration {
	for _, closed := range s.slots[slot].Closed {
		if at >= closed.From && at < closed.To {
			at = closed.To
		}
	}
	return at
}

func (s *schedule) enqueueArrivals() {
	for s.arrived < len(s.order) && s.jobs[s.order[s.arrived]].Arrival <= s.now {
		job := s.order[s.arrived]
		for _, task := range s.jobs[job].Tasks {
			s.queue = append(s.queue, waitingTask{job: job, runTime: task.RunTime})
		}
		s.arrived++
	}
	slices.SortStableFunc(s.queue, func(a, b waitingTask) int {
		if c := compare(s.jobs[b.job].Priority, s.jobs[a.job].Priority); c != 0 {
			return c
		}
		if c := compare(s.jobs[a.job].Arrival, s.jobs[b.job].Arrival); c != 0 {
			return c
		}
		return compare(b.runTime, a.runTime)
	})
}

// place plans all waiting tasks and starts those whose best slot is usable now.
// The other tasks stay in the queue and are planned again at the next event.
func (s *schedule) place() {
	planned := slices.Clone(s.freeAt)
	var remaining []waitingTask
	for _, task := range s.queue {
		slot, start, end := s.bestSlot(planned, task.runTime)
		planned[slot] = end
		if start > s.now {
			remaining = append(remaining, task)
			continue
		}
		s.freeAt[slot] = end
		s.end[task.job] = max(s.end[task.job], end)
		s.finished = append(s.finished, Work{At: end, RunTime: task.runTime})
	}
	s.queue = remaining
}

func (s *schedule) bestSlot(planned []time.Duration, runTime time.Duration) (slot int, start, end time.Duration) {
	slot = -1
	for i := range s.slots {
		from := s.usableFrom(i, max(planned[i], s.now))
		until := from + time.Duration(float64(runTime)/s.slots[i].Speed)
		if slot < 0 || until < end {
			slot, start, end = i, from, until
		}
	}
	return slot, start, end
}
