package meter

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/demo/scorer"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

const (
	firmName    = "lamis"
	placeName   = "sahel"
	serviceName = "dispatch"
)

var domains = []string{"sousse", "monastir", "mahdia", "hammamet"}

// warmUpTime covers the first confirmation of the settings and the ramp-up of
// the endpoints.
const warmUpTime = 5 * time.Second

// world is one run.
type world struct {
	options  Options
	jobs     []plannedJob
	begin    time.Time
	now      time.Time
	schedule timeline
	sequence uint64

	entries  []*entryNode
	agents   []*agentNode
	entryOf  map[messenger.Incarnation]*entryNode
	agentOf  map[messenger.Incarnation]*agentNode
	numberOf map[messenger.SubmissionKey]int
	rows     map[string]coordinator.EntryRow
	tree     resolver.Tree

	complete []bool
	response []time.Duration
	messages scorer.Messages
	reports  uint64
}

func newWorld(o Options, jobs []plannedJob) *world {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		options:  o,
		jobs:     jobs,
		begin:    begin,
		now:      begin,
		entryOf:  make(map[messenger.Incarnation]*entryNode),
		agentOf:  make(map[messenger.Incarnation]*agentNode),
		numberOf: make(map[messenger.SubmissionKey]int),
		rows:     make(map[string]coordinator.EntryRow),
		tree:     settingsTree(),
		complete: make([]bool, len(jobs)),
		response: make([]time.Duration, len(jobs)),
	}
	for i := range o.Entries {
		w.startEntry(fmt.Sprintf("entry-%02d", i), uint64(i))
	}
	for i := range o.Agents {
		w.startAgent(i)
	}
	w.linkAll()
	w.submitAll()
	return w
}

func settingsTree() resolver.Tree {
	place := resolver.Place{FailureDomains: make(map[string]resolver.FailureDomain)}
	for _, domain := range domains {
		place.FailureDomains[domain] = resolver.FailureDomain{
			Services: map[string]resolver.Service{serviceName: {}},
		}
	}
	return resolver.Tree{Firms: map[string]resolver.Firm{
		firmName: {Places: map[string]resolver.Place{placeName: place}},
	}}
}

func (w *world) warmUp() time.Duration { return warmUpTime }

func (w *world) elapsed() time.Duration { return w.now.Sub(w.begin) }

// submitAll schedules the submissions, to the entries in turn.
func (w *world) submitAll() {
	for i, job := range w.jobs {
		submission := job.submission(i)
		w.numberOf[submission.Key] = i
		entry := w.entries[i%len(w.entries)]
		w.after(w.warmUp()+job.arrival+w.options.ClientDelay, func() {
			entry.handle(coordinator.Submitted{Call: coordinator.CallID(i + 1), Submission: submission})
		})
	}
}

func (w *world) linkAll() {
	for _, entry := range w.entries {
		for _, agent := range w.agents {
			w.link(entry, agent)
		}
		for _, other := range w.entries {
			if other != entry {
				w.after(w.options.LinkDelay, func() {
					entry.handle(coordinator.PeerLinked{Name: other.name, Incarnation: other.incarnation})
				})
			}
		}
	}
}

// run handles everything that is due until the given time since the start.
func (w *world) run(until time.Duration) {
	end := w.begin.Add(until)
	for len(w.schedule) > 0 && !w.schedule[0].at.After(end) {
		next := heap.Pop(&w.schedule).(scheduled)
		w.now = next.at
		next.do()
	}
	w.now = end
}

func (w *world) after(delay time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.schedule, scheduled{at: w.now.Add(delay), sequence: w.sequence, do: do})
}

// every repeats a step, the first time at once.
func (w *world) every(interval time.Duration, do func()) {
	w.after(0, func() {
		do()
		w.repeat(interval, do)
	})
}

func (w *world) repeat(interval time.Duration, do func()) {
	w.after(interval, func() {
		do()
		w.repeat(interval, do)
	})
}

type scheduled struct {
	at       time.Time
	sequence uint64
	do       func()
}

// timeline orders steps by time for container/heap. Steps at the same time keep
// their order, so that links deliver in order.
type timeline []scheduled

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].sequence < t[j].sequence
	}
	return t[i].at.Before(t[j].at)
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push adds a step; container/heap calls it.
func (t *timeline) Push(x any) { *t = append(*t, x.(scheduled)) }

// Pop removes the last step; container/heap calls it.
func (t *timeline) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = scheduled{}
	*t = old[:len(old)-1]
	return last
}
