package coordinator

import (
	"slices"
	"strings"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/limiter"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// ahead returns how many tasks that wait at peers have a higher priority than a
// task of this entry.
func (s *State) ahead(c *class, item limiter.Item) int {
	tasks := 0
	priority := limiter.EffectivePriority(s.now, item)
	for _, p := range s.peers {
		if s.reachable(p.incarnation) {
			tasks += p.waiting.above(c.key, priority)
		}
	}
	return tasks
}

// waitingList is what waits at an entry, one item per class.
type waitingList []messenger.WaitingJob

func (l waitingList) above(key classKey, priority int) int {
	for _, w := range l {
		if int(w.Priority) > priority && w.Firm == key.firm && w.Service == key.service &&
			strings.Join(w.Labels, "\x00") == key.labels {
			return w.Tasks
		}
	}
	return 0
}

// tellWaiting tells the peers of a change of what waits here. Without it, each
// entry would use the slots that its own tasks leave for its own tasks, also when
// more urgent ones wait at a peer.
func (s *State) tellWaiting() {
	interval := s.Config.WaitingInterval * time.Duration(len(s.peers))
	if len(s.peers) == 0 || s.now.Sub(s.waitingToldAt) < interval {
		return
	}
	waiting := s.waiting()
	if slices.EqualFunc(waiting, s.waitingTold, sameWaiting) {
		return
	}
	s.waitingTold = waiting
	s.waitingToldAt = s.now
	for _, p := range s.sortedPeers() {
		s.sendPeerStatus(p)
	}
}

func sameWaiting(a, b messenger.WaitingJob) bool {
	return a.Firm == b.Firm && a.Service == b.Service && slices.Equal(a.Labels, b.Labels) &&
		a.Priority == b.Priority && a.Tasks == b.Tasks
}

// waiting lists the most urgent waiting job of each class. A job of low priority
// comes before no other, so it is left out.
func (s *State) waiting() waitingList {
	if !s.mayDispatch() {
		return nil
	}
	var list waitingList
	for _, c := range s.order {
		item, waits := c.queue.Peek(s.now, s.Random)
		if !waits || limiter.EffectivePriority(s.now, item) == int(messenger.PriorityLow) {
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

func (j *job) waitingIn(c *class) int {
	count := 0
	for i := range j.tasks {
		if j.tasks[i].phase == taskWaiting && j.tasks[i].class == c {
			count++
		}
	}
	return count
}
