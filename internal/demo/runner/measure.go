package runner

import (
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/burdockrudder/burdockrudder/internal/demo/scorer"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

// The work measure covers the time from windowBefore the take-out to windowAfter the
// bring-back.
const (
	windowBefore = 2 * time.Second
	windowAfter  = 5 * time.Second
)

// report computes all measures of the run.
func (r *Runner) report() (*Report, error) {
	report := &Report{
		Deployment: r.Deployment.Firm,
		Fault:      string(r.Fault),
		IDs:        string(r.IDs),
		Seed:       r.Seed,
		Load:       r.Load,
		Jobs:       len(r.jobs),
	}
	r.countAnswers(report)
	r.countStarts(report)
	ideal := scorer.Ideal(scorerJobs(r.jobs), r.slots(), scorer.Delays{
		ClientRoundTrip:   2 * r.Deployment.ClientDelay,
		EndpointRoundTrip: 2 * r.Deployment.DomainDelay,
	})
	if err := r.measureResponse(report, ideal); err != nil {
		return nil, err
	}
	r.measureMessages(report)
	r.measureTakeOut(report, ideal)
	return report, nil
}

func (r *Runner) countAnswers(report *Report) {
	for _, got := range r.clients.results {
		switch {
		case !got.answered && got.refused != nil:
			report.Refused++
		case !got.answered:
			report.Unanswered++
		case got.outcome.Status == translator.StatusComplete:
			report.Complete++
		default:
			report.Failed++
		}
	}
	report.Unanswered += len(r.jobs) - len(r.clients.results)
	report.WrongAnswers = r.clients.wrongAnswers(r.jobs)
}

// countStarts fills in the counts that the endpoints observed.
func (r *Runner) countStarts(report *Report) {
	started := make(map[string]uint64)
	for i, a := range r.cluster.agents {
		counters := a.executor.Counters()
		report.SlotViolations += counters.SlotViolations + counters.ConnectionViolations
		report.TaskStarts += counters.Starts
		for _, start := range a.observed.startList() {
			started[start.task]++
			if r.startedAfterTakeOut(i, start.at) {
				report.StartsAfterTakeOut++
			}
		}
	}
	for _, count := range started {
		report.DoubleStarts += count - 1
	}
	report.UntrueNotRun = r.untrueNotRun(started)
}

func (r *Runner) startedAfterTakeOut(endpoint int, at time.Time) bool {
	if !r.takeOut.done || r.Deployment.domain(endpoint) != r.domain {
		return false
	}
	since := at.Sub(r.clients.startedAt)
	return since > r.takeOut.accepted+maxTakeOutDelay && since < r.takeOut.broughtBack
}

func (r *Runner) untrueNotRun(started map[string]uint64) int {
	untrue := 0
	for _, got := range r.clients.results {
		for i, task := range got.outcome.Tasks {
			key := messenger.TaskKey{
				Submission: messenger.SubmissionKey{
					Firm: r.Deployment.Firm, Service: r.Deployment.Service, ID: got.id,
				},
				Index: i,
			}
			if task.State == messenger.TaskNotRun && started[key.String()] > 0 {
				untrue++
			}
		}
	}
	return untrue
}

func (r *Runner) measureResponse(report *Report, ideal scorer.Schedule) error {
	all, high := scorer.NewRatios(), scorer.NewRatios()
	var added []time.Duration
	for _, got := range r.clients.results {
		if !got.answered || got.outcome.Status != translator.StatusComplete {
			continue
		}
		if err := all.Add(got.response, ideal.Response[got.job]); err != nil {
			return err
		}
		added = append(added, got.response-ideal.Response[got.job])
		if !r.jobs[got.job].high {
			continue
		}
		if err := high.Add(got.response, ideal.Response[got.job]); err != nil {
			return err
		}
	}
	if len(added) > 0 {
		slices.Sort(added)
		report.AddedP50MS = float64(added[len(added)/2].Microseconds()) / 1000
	}
	report.ResponseOverIdealP50 = all.Percentile(50)
	report.ResponseOverIdealP90 = all.Percentile(90)
	report.ResponseOverIdealP99 = all.Percentile(99)
	report.HighResponseOverIdealP50 = high.Percentile(50)
	report.HighResponseOverIdealP99 = high.Percentile(99)
	return nil
}

// traffic holds the messages and bytes that a transport has sent.
type traffic struct {
	work, other  uint64
	controlBytes uint64
}

// controlKinds are the kinds of messages that are sent also without work.
var controlKinds = map[string]bool{
	"Hello": true, "Welcome": true, "Report": true, "Status": true, "PeerStatus": true, "Ping": true,
}

// trafficOf sums the counters of a transport's outgoing messages.
func trafficOf(scope tally.TestScope) traffic {
	var sum traffic
	for _, counter := range scope.Snapshot().Counters() {
		tags := counter.Tags()
		if tags["direction"] != "out" {
			continue
		}
		count := uint64(counter.Value())
		kind := tags["kind"]
		switch {
		case strings.HasSuffix(counter.Name(), "bytes") && controlKinds[kind]:
			sum.controlBytes += count
		case !strings.HasSuffix(counter.Name(), "messages"), controlKinds[kind]:
		case kind == "Start" || kind == "Finished":
			sum.work += count
		default:
			sum.other += count
		}
	}
	return sum
}

func (r *Runner) measureMessages(report *Report) {
	messages := scorer.Messages{
		Starts:      report.TaskStarts,
		Submissions: uint64(report.Complete + report.Failed),
	}
	var controlBytes uint64
	for _, e := range r.cluster.entries {
		sent := trafficOf(e.scope)
		messages.Work += sent.work
		messages.Other += sent.other
		controlBytes += sent.controlBytes
	}
	for _, a := range r.cluster.agents {
		sent := trafficOf(a.scope)
		messages.Work += sent.work
		messages.Other += sent.other
		controlBytes += sent.controlBytes
	}
	// Each call to an endpoint and each call of a caller is a request and an answer.
	messages.Work += 2*report.TaskStarts + 2*uint64(len(r.clients.results))
	report.StoreTransactions = r.cluster.table.Transactions()
	// Calls that the store refuses count as messages as well.
	messages.Store = 2 * r.cluster.table.WriteCalls()
	report.WastedMessagesPerStart, report.WastedMessagesPerStartNoStore = messages.WastedPerStart()
	seconds := time.Since(r.clients.startedAt).Seconds()
	report.ControlBytesPerSecond = float64(controlBytes) / seconds / float64(len(r.cluster.agents))
}

// measureTakeOut compares the work that ended around the take-out with the work that
// ends in the same window of the ideal schedule.
func (r *Runner) measureTakeOut(report *Report, ideal scorer.Schedule) {
	if !r.takeOut.done {
		return
	}
	from, to := r.takeOut.accepted-windowBefore, r.takeOut.broughtBack+windowAfter
	var work []scorer.Work
	for _, a := range r.cluster.agents {
		for _, end := range a.observed.endList() {
			work = append(work, scorer.Work{At: end.at.Sub(r.clients.startedAt), RunTime: end.runTime})
		}
	}
	idealWork := scorer.WorkBetween(ideal.Finished, from, to)
	if idealWork > 0 {
		report.TakeOutWorkRatio = float64(scorer.WorkBetween(work, from, to)) / float64(idealWork)
	}
}

// anyCrashed reports whether a fault has crashed a daemon.
func (c *cluster) anyCrashed() bool {
	for _, e := range c.entries {
		if e.isolation.crashed.Load() {
			return true
		}
	}
	for _, a := range c.agents {
		if a.isolation.crashed.Load() {
			return true
		}
	}
	return false
}
