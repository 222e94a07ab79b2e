package coordinator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// A job that would miss its objective is refused, unless its queue gives a late answer a
// value. It is then admitted as late if it is expected to end before its answer is
// useless. The tasks of late jobs wait in a backlog of their own and use only room that
// no task of another job waits for, here or at a peer.

// maxLateMisses is the number of late jobs with tasks that find no endpoint after which
// the others are not tried. Tasks of another size or with other labels may still find
// one.
const maxLateMisses = 8

// updateLateServices creates the backlogs of the services for which some queue gives
// late answers a value. They are kept when the value is set to 0 again, because tasks of
// their jobs may return.
func (s *State) updateLateServices() {
	s.lateServices = make(map[serviceKey]bool)
	for firm, settings := range s.tree.Firms {
		for _, queue := range settings.Queues {
			resolved, ok := s.tree.ResolveAdmission(firm, queue.Service)
			if ok && queue.LateValueOf(resolved) > 0 {
				s.lateServices[serviceKey{firm, queue.Service}] = true
			}
		}
	}
	for key := range s.lateServices {
		if s.lateBacklogOf(key) == nil {
			s.lateBacklogs = append(s.lateBacklogs, &lateBacklog{key: key, openAt: s.now})
		}
	}
	slices.SortFunc(s.lateBacklogs, func(a, b *lateBacklog) int {
		return cmp.Or(cmp.Compare(a.key.firm, b.key.firm), cmp.Compare(a.key.service, b.key.service))
	})
}

func (s *State) lateBacklogOf(key serviceKey) *lateBacklog {
	for _, b := range s.lateBacklogs {
		if b.key == key {
			return b
		}
	}
	return nil
}

// admitLate admits a job that is expected to miss its objective if its late answer has a
// value and the backlog of late jobs has room for it. It returns the expected wait.
func (s *State) admitLate(j *job) (time.Duration, bool) {
	key := j.submission.Key
	b := s.lateBacklogOf(serviceKey{firm: key.Firm, service: key.Service})
	value := s.tree.Firms[key.Firm].Queues[j.submission.Queue].LateValueOf(j.settings)
	if b == nil || value == 0 || s.lifeCycle.Is(entryDraining) {
		return 0, false
	}
	if lagsPerJob*s.lag() > j.objective.admissionSlack() {
		// The entry lacks processor time, which a late job needs as much as one on time.
		return 0, false
	}
	l := &lateJob{
		job: j, arrival: j.arrival, value: value, criticalPath: j.objective.criticalPath,
		latestEnd: s.now.Add(tooLateFactor * j.objective.latency),
	}
	for i := range j.tasks {
		l.remaining += workOf(&j.tasks[i])
	}
	delay, endpoints := s.lateEstimate(j)
	delay += b.closedTime(s.now)
	wait, admitted := b.admits(s.now, l, delay, b.rate(s.now, endpoints))
	if !admitted {
		return wait, false
	}
	j.late, j.lateBacklog = l, b
	s.counters.AdmittedLate++
	s.emit(Decision{Kind: DecisionAdmitLate, Submission: key, Reason: fmt.Sprintf(
		"admitted late: the expected wait is %v, the answer is useless after %v",
		wait.Round(time.Millisecond), (tooLateFactor * j.objective.latency).Round(time.Millisecond))})
	return wait, true
}

// lateEstimate returns the expected wait for the end of all other work in the classes of
// a job, and the rate of their endpoints in milli-cores.
func (s *State) lateEstimate(j *job) (delay time.Duration, endpoints float64) {
	var checked *class
	for i := range j.tasks {
		c := s.classOf(j, j.submission.Tasks[i].Labels)
		if c == checked {
			continue
		}
		if rate := c.rate(s.now); checked == nil || rate < endpoints {
			endpoints = rate
		}
		checked = c
		delay = max(delay, c.delay(s.now, messenger.PriorityLow))
	}
	return delay + lagsPerJob*s.lag(), endpoints
}

// updateLate updates the backlog after a task of a late job has changed its phase.
func (s *State) updateLate(j *job) {
	l := j.late
	l.remaining, l.waiting = 0, l.waiting[:0]
	for i := range j.tasks {
		switch t := &j.tasks[i]; t.phase {
		case taskNew:
			l.remaining += workOf(t)
		case taskWaiting:
			l.remaining += workOf(t)
			l.waiting = append(l.waiting, t)
		case taskSent, taskDone:
		}
	}
	slices.SortStableFunc(l.waiting, func(a, b *task) int {
		return cmp.Compare(j.submission.Tasks[b.index].DeclaredRunTime, j.submission.Tasks[a.index].DeclaredRunTime)
	})
	l.started = j.mayHaveStarted()
	j.lateBacklog.keep(s.now, l)
}

// dispatchLate sends the waiting tasks of late jobs to free endpoints of the services for
// which no other task waits.
func (s *State) dispatchLate() {
	for _, b := range s.lateBacklogs {
		if len(b.jobs) == 0 || s.otherTasksWait(b.key) {
			continue
		}
		b.openAt = s.now
		misses := 0
		for _, l := range b.next(s.now) {
			for len(l.waiting) > 0 && s.placeLate(b, l.waiting[0]) {
			}
			if len(l.waiting) > 0 {
				misses++
			}
			if misses == maxLateMisses {
				break
			}
		}
	}
}

// observeLateRoom records the room that the late tasks of each service may use.
func (s *State) observeLateRoom() {
	for _, b := range s.lateBacklogs {
		open, unused := !s.otherTasksWait(b.key), 0.0
		if open {
			free := float64(s.index.FreeMilliCPU(b.key.firm, b.key.service, nil))
			unused = max(free/2, free-b.reserve(s.now))
		}
		b.observe(s.now, open, unused/float64(max(1, len(s.addresses))))
	}
}

// placeLate sends a task of a late job unless that would leave less room than the
// reserve. It returns false if the task still waits.
func (s *State) placeLate(b *lateBacklog, t *task) bool {
	if !s.leavesReserve(b, t) || !s.teams.MayStart(b.key.firm, t.job.submission.Team) {
		return false
	}
	choice, ok := s.choose(t, t.class, "", 0)
	if ok {
		s.place(t, choice)
	}
	return ok
}

// leavesReserve reports whether the reserve for the next job that can be on time stays
// free if a late task is sent. The first task of a job needs room for all of its tasks
// that can be sent: the work of a job that does not end in time is wasted. No more than
// half of the room that is free or used by this entry is asked for, and none while this
// entry runs no task: otherwise, a service with little room would run no late tasks.
func (s *State) leavesReserve(b *lateBacklog, t *task) bool {
	running := t.class.runningMilliCPU
	if running == 0 {
		return true
	}
	size := milliCPUOf(t)
	if l := t.job.late; !l.started {
		size = 0
		for _, ready := range l.waiting {
			size += milliCPUOf(ready)
		}
	}
	free := s.index.FreeMilliCPU(b.key.firm, b.key.service, t.class.labels)
	return float64(free) >= min(b.reserve(s.now)+float64(size), float64(free+running)/2)
}

// otherTasksWait reports whether tasks of jobs that are not late wait for endpoints of a
// service, at this entry or by the last reports of its peers. Tasks of teams that have
// reached their limit do not count.
func (s *State) otherTasksWait(key serviceKey) bool {
	for _, c := range s.order {
		if c.key.serviceKey != key {
			continue
		}
		if _, waits := c.queue.Peek(s.now, s.Random); waits {
			return true
		}
	}
	for _, p := range s.peers {
		if s.reachable(p.incarnation) && p.waiting.hasTasksOf(key) {
			return true
		}
	}
	return false
}

// refuseTooLateFrom refuses the jobs of a backlog of which nothing has started and whose
// answer would come too late to be useful.
func (s *State) refuseTooLateFrom(b *lateBacklog) {
	var refused []*job
	for _, l := range b.jobs {
		if s.isTooLate(l.job) {
			refused = append(refused, l.job)
		}
	}
	for _, j := range refused {
		s.counters.RefusedLate++
		s.giveUp(j, "admitted late, and the answer would come too late to be worth anything")
	}
}
