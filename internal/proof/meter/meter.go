// Package meter measures response time over ideal of the whole decision stack on
// a virtual clock. It drives the decision states of several entries and agents
// through fakes of the links, the clients, the store and the endpoints, under the
// load of the demo. The same options give the same result.
//
// Unlike proof/driver it injects no faults and copies no messages, so that
// minutes of load take about a second.
package meter

import (
	"fmt"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/demo/scorer"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Options are the options of one run. Defaults returns those of a present deployment.
type Options struct {
	Seed    uint64
	Entries int
	Agents  int
	// Slots is the number of slots per endpoint.
	Slots int
	// SlowestSpeed is the speed of the slowest endpoint; the fastest has 1.
	SlowestSpeed float64
	// Load is the offered work as a share of the capacity.
	Load float64
	// Bursts offers 3 times the capacity for 2 s in every 10 s, and in the remaining
	// 8 s a lower load, such that the mean is Load.
	Bursts bool
	// Span is the time in which jobs arrive.
	Span time.Duration
	// ClientDelay, LinkDelay and WriteLatency are the delays of the fake clients,
	// links and store. The first two are one way.
	ClientDelay  time.Duration
	LinkDelay    time.Duration
	WriteLatency time.Duration
	// DeclaredError is the largest factor by which declared run times are wrong.
	DeclaredError float64
	// StragglerShare is the share of tasks that run for several seconds.
	StragglerShare float64
}

// Defaults returns the options of a deployment with the given client delay.
func Defaults(seed uint64, clientDelay time.Duration) Options {
	return Options{
		Seed:           seed,
		Entries:        3,
		Agents:         11,
		Slots:          8,
		SlowestSpeed:   0.25,
		Load:           0.7,
		Span:           5 * time.Minute,
		ClientDelay:    clientDelay,
		LinkDelay:      500 * time.Microsecond,
		WriteLatency:   4 * time.Millisecond,
		DeclaredError:  5,
		StragglerShare: 0.02,
	}
}

// Result holds the measures of all runs that were added.
type Result struct {
	All  *scorer.Ratios
	High *scorer.Ratios
	// Messages counts the messages of all runs.
	Messages scorer.Messages
	// Incomplete counts the jobs that were refused, failed or not answered.
	Incomplete int
	// Reports counts the messages from agents that carry only their load.
	Reports uint64
	// AgentSeconds is the sum of the agents' run times.
	AgentSeconds float64
}

// NewResult returns a result without runs.
func NewResult() *Result {
	return &Result{All: scorer.NewRatios(), High: scorer.NewRatios()}
}

// drainTime is how long a run continues after the span of the arrivals. It exceeds the
// default deadline of a job.
const drainTime = 40 * time.Second

// AddRun performs one run and adds its measures.
func (r *Result) AddRun(o Options) error {
	jobs := planLoad(o)
	w := newWorld(o, jobs)
	w.run(w.loadStart() + o.Span + drainTime)
	ideal := scorer.Ideal(scorerJobs(jobs), o.slots(), scorer.Delays{
		ClientRoundTrip:   2 * o.ClientDelay,
		EndpointRoundTrip: 2 * o.LinkDelay,
	})
	for i, job := range jobs {
		if !w.complete[i] {
			r.Incomplete++
			continue
		}
		if err := r.add(w.response[i], ideal.Response[i], job.high); err != nil {
			return fmt.Errorf("score job %d: %w", i, err)
		}
	}
	r.Messages.Starts += w.messages.Starts
	r.Messages.Submissions += w.messages.Submissions
	r.Messages.Work += w.messages.Work + 2*w.messages.Starts + 2*w.messages.Submissions
	r.Messages.Other += w.messages.Other
	r.Messages.Store += w.messages.Store
	r.Reports += w.reports
	r.AgentSeconds += w.elapsed().Seconds() * float64(o.Agents)
	return nil
}

func (r *Result) add(response, ideal time.Duration, high bool) error {
	if err := r.All.Add(response, ideal); err != nil {
		return err
	}
	if !high {
		return nil
	}
	return r.High.Add(response, ideal)
}

// countMessage adds a message to its class of scorer.Messages.
func (w *world) countMessage(m messenger.Message) {
	switch m.(type) {
	case messenger.Start, messenger.Finished:
		w.messages.Work++
	case messenger.Report:
		w.reports++
	case messenger.Hello, messenger.Welcome, messenger.Status, messenger.PeerStatus, messenger.Ping:
	default:
		w.messages.Other++
	}
}

// recordAnswer records the answer to a job, and the response time if it is complete.
func (w *world) recordAnswer(e coordinator.Reply) {
	job := int(e.Call) - 1
	w.messages.Submissions++
	outcome, ok := e.Answer.(coordinator.OutcomeAnswer)
	if !ok || outcome.Outcome.Status != messenger.OutcomeComplete {
		return
	}
	w.complete[job] = true
	w.response[job] = w.elapsed() + w.options.ClientDelay - w.loadStart() - w.jobs[job].arrival
}
