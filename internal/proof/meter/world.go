package meter

import (
	"fmt"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/demo/scorer"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/scheduler"
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

// world is the simulated deployment of one run, with its results.
type world struct {
	options   Options
	jobs      []plannedJob
	startedAt time.Time
	now       time.Time
	schedule  scheduler.Schedule

	entries   []*entryNode
	agents    []*agentNode
	entryOf   map[messenger.Incarnation]*entryNode
	agentOf   map[messenger.Incarnation]*agentNode
	jobNumber map[messenger.SubmissionKey]int
	rows      map[string]coordinator.EntryRow
	tree      resolver.Tree

	complete []bool
	response []time.Duration
	messages scorer.Messages
	reports  uint64
}

func newWorld(o Options, jobs []plannedJob) *world {
	startedAt := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		options:   o,
		jobs:      jobs,
		startedAt: startedAt,
		now:       startedAt,
		entryOf:   make(map[messenger.Incarnation]*entryNode),
		agentOf:   make(map[messenger.Incarnation]*agentNode),
		jobNumber: make(map[messenger.SubmissionKey]int),
		rows:      make(map[string]coordinator.EntryRow),
		tree:      settingsTree(),
		complete:  make([]bool, len(jobs)),
		response:  make([]time.Duration, len(jobs)),
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

func (w *world) loadStart() time.Duration { return warmUpTime }

func (w *world) elapsed() time.Duration { return w.now.Sub(w.startedAt) }

// submitAll schedules the submissions, which go to the entries in turn.
func (w *world) submitAll() {
	for i, job := range w.jobs {
		submission := job.submission(i)
		w.jobNumber[submission.Key] = i
		entry := w.entries[i%len(w.entries)]
		w.after(w.loadStart()+job.arrival+w.options.ClientDelay, func() {
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

// run performs all scheduled steps up to the given time since the start.
func (w *world) run(until time.Duration) {
	end := w.startedAt.Add(until)
	w.schedule.RunUntil(&w.now, end)
	w.now = end
}

func (w *world) after(delay time.Duration, do func()) {
	w.schedule.Add(w.now.Add(delay), do)
}

// every schedules a step for now and then once per interval.
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
