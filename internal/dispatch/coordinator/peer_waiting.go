package coordinator

import (
	"slices"
	"strings"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/limiter"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// moreUrgentAtPeers returns the number of tasks that wait at peers with a higher priority
// than a task of this entry.
func (s *State) moreUrgentAtPeers(c *class, item limiter.Item) int {
	tasks := 0
	priority := limiter.EffectivePriority(s.now, item)
	for _, p := range s.peers {
		if s.reachable(p.incarnation) {
			tasks += p.waiting.tasksAbove(c.key, priority)
		}
	}
	return tasks
}

// waitingList lists the most urgent waiting job of each class at an entry.
type waitingList []messenger.WaitingJob

// tasksAbove returns the number of listed tasks of a class whose priority is above the
// given one.
func (l waitingList) tasksAbove(key classKey, priority int) int {
	for _, w := range l {
		if int(w.Priority) > priority && w.Firm == key.firm && w.Service == key.service &&
			strings.Join(w.Labels, "\x00") == key.labels {
			return w.Tasks
		}
	}
	return 0
}

// broadcastWaiting sends the list of waiting tasks to the peers when it has changed.
// Without it, each entry would give the slots that its tasks free to its own tasks, even
// while more urgent tasks wait at a peer.
func (s *State) broadcastWaiting() {
	interval := s.Config.WaitingReportInterval * time.Duration(len(s.peers))
	due := s.now.Sub(s.sentWaitingAt) >= interval
	lowDue := len(s.lateServices) > 0 && s.now.Sub(s.sentLowAt) >= interval
	if len(s.peers) == 0 || !due && !lowDue {
		return
	}
	waiting := s.listWaiting()
	urgentChanged := !slices.EqualFunc(waiting.aboveLow(), s.sentWaiting.aboveLow(), sameWaiting)
	switch {
	case urgentChanged && due:
		s.sentWaitingAt = s.now
	case !urgentChanged && lowDue && !slices.EqualFunc(waiting, s.sentWaiting, sameForLate):
		// Such a report does not delay the next one about more urgent tasks.
		s.sentLowAt = s.now
	default:
		return
	}
	s.sentWaiting = waiting
	for _, p := range s.sortedPeers() {
		s.sendPeerStatus(p)
	}
}

func sameWaiting(a, b messenger.WaitingJob) bool {
	return a.Firm == b.Firm && a.Service == b.Service && slices.Equal(a.Labels, b.Labels) &&
		a.Priority == b.Priority && a.Tasks == b.Tasks
}

// aboveLow returns the listed jobs that precede others that are not late.
func (l waitingList) aboveLow() waitingList {
	urgent := slices.Clone(l)
	return slices.DeleteFunc(urgent, func(w messenger.WaitingJob) bool { return w.Priority == messenger.PriorityLow })
}

// sameForLate compares jobs like sameWaiting. Of tasks of low priority, it only matters
// to late jobs whether any wait.
func sameForLate(a, b messenger.WaitingJob) bool {
	if a.Priority == messenger.PriorityLow && b.Priority == messenger.PriorityLow {
		b.Tasks = a.Tasks
	}
	return sameWaiting(a, b)
}

// hasTasksOf reports whether tasks of any class of a service are listed.
func (l waitingList) hasTasksOf(key serviceKey) bool {
	return slices.ContainsFunc(l, func(w messenger.WaitingJob) bool {
		return w.Tasks > 0 && w.Firm == key.firm && w.Service == key.service
	})
}

// listWaiting lists the most urgent waiting job of each class. Late jobs are not listed.
// Jobs of low priority are omitted because they never precede other jobs, except late
// ones.
func (s *State) listWaiting() waitingList {
	if !s.mayDispatch() {
		return nil
	}
	var list waitingList
	for _, c := range s.order {
		item, waits := c.queue.Peek(s.now, s.Random)
		if !waits || limiter.EffectivePriority(s.now, item) == int(messenger.PriorityLow) && !s.lateServices[c.key.serviceKey] {
			continue
		}
		list = append(list, messenger.WaitingJob{
			Firm:     c.key.firm,
			Service:  c.key.service,
			Labels:   c.labels,
			Priority: messenger.Priority(limiter.EffectivePriority(s.now, item)),
			Tasks:    s.findTask(item.Task).job.waitingIn(c),
		})
	}
	slices.SortFunc(list, func(a, b messenger.WaitingJob) int {
		if n := strings.Compare(a.Service, b.Service); n != 0 {
			return n
		}
		return slices.Compare(a.Labels, b.Labels)
	})
	return list
}

// waitingIn returns the number of tasks of a job that wait in a class.
func (j *job) waitingIn(c *class) int {
	count := 0
	for i := range j.tasks {
		if j.tasks[i].phase == taskWaiting && j.tasks[i].class == c {
			count++
		}
	}
	return count
}
