// Package runner runs the demo: all processes of a deployment in one process, over
// real loopback sockets, under load and with injected faults. It checks the answers
// that the callers received and the task starts that the endpoints observed.
package runner

import (
	"context"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/demo/scorer"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Runner is one run of the demo. Its exported fields are set before Run.
type Runner struct {
	Deployment Deployment
	Seed       uint64
	Jobs       int
	// Load is the offered work as a share of the capacity.
	Load  float64
	Fault Fault
	// IDs is the source of the clients' submission ids.
	IDs IDs
	// TakeOut makes the run take a failure domain out and bring it back.
	TakeOut bool
	// Progress receives a line per second; nil means no progress lines.
	Progress io.Writer
	// TraceDir is the directory for the traces of the entries' decisions; empty
	// means no traces.
	TraceDir string
	Logger   *zap.Logger

	// network is loopback unless a test sets another.
	network network
	jobs    []plannedJob
	cluster *cluster
	clients *clients
	domain  string
	takeOut domainTimes
}

// IDs names the source of the clients' submission ids.
type IDs string

// The sources of ids.
const (
	// IDsOwn are chosen by the clients and need a store write before the start.
	IDsOwn IDs = "own"
	// IDsTickets are issued by the entries and need no write before the start.
	IDsTickets IDs = "tickets"
)

// ParseIDs returns the source of ids with a name.
func ParseIDs(name string) (IDs, error) {
	if ids := IDs(name); ids == IDsOwn || ids == IDsTickets {
		return ids, nil
	}
	return "", fmt.Errorf("unknown source of ids %q, want %q or %q", name, IDsOwn, IDsTickets)
}

// domainTimes are the times of a take-out and its bring-back, since the start of the
// load.
type domainTimes struct {
	accepted, returned time.Duration
	done               bool
}

const (
	// startPatience limits the start of all processes.
	startPatience = 15 * time.Second
	// The take-out and the bring-back happen at these percentages of the span of the
	// arrivals.
	takeOutPercent = 35
	returnPercent  = 65
	// stopPatience limits the stop of all processes.
	stopPatience = 20 * time.Second
	// takeOutBound is the time after the acceptance of a take-out within which it must
	// be in force: later starts in the failure domain violate it.
	takeOutBound = 3 * time.Second
)

// Run starts the processes, runs the load and returns the report.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	began := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	startCtx, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	if r.network == nil {
		r.network = loopback{}
	}
	cluster, err := startCluster(startCtx, &cluster{
		deployment: r.Deployment, seed: r.Seed, traceDir: r.TraceDir, logger: r.Logger, network: r.network, group: group,
	})
	if err != nil {
		return nil, err
	}
	r.cluster = cluster
	r.jobs = planLoad(r.Deployment, r.Seed, r.Jobs, r.Load)
	r.clients = newClients(cluster, r.IDs)
	if err := r.load(ctx); err != nil {
		return nil, err
	}
	report, err := r.report()
	if err != nil {
		return nil, err
	}
	if err := r.stop(ctx, group); err != nil {
		return nil, err
	}
	report.ElapsedSeconds = time.Since(began).Seconds()
	return report, nil
}

func (r *Runner) stop(ctx context.Context, group *errgroup.Group) error {
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopPatience)
	defer cancel()
	defer r.clients.http.CloseIdleConnections()
	defer r.cluster.http.CloseIdleConnections()
	r.cluster.stop(stopCtx)
	if r.cluster.anyDead() {
		// A crashed daemon cannot drain; it ends with this process.
		return nil
	}
	return group.Wait()
}

// span returns the time of the last arrival.
func (r *Runner) span() time.Duration {
	return r.jobs[len(r.jobs)-1].arrival
}

// load submits the jobs in an open loop, and concurrently injects the faults and
// performs the take-out.
func (r *Runner) load(ctx context.Context) error {
	r.clients.began = time.Now()
	var group errgroup.Group
	for number, job := range r.jobs {
		group.Go(func() error {
			if pauseUntil(ctx, r.clients.began.Add(job.arrival)) {
				r.clients.submit(ctx, number, job)
			}
			return nil
		})
		if job.resubmit {
			group.Go(func() error {
				if pauseUntil(ctx, r.clients.began.Add(job.arrival)) {
					r.clients.resubmit(ctx, number, job)
				}
				return nil
			})
		}
	}
	for _, s := range faultPlan(r.Fault, r.span()) {
		group.Go(func() error {
			if pauseUntil(ctx, r.clients.began.Add(s.at)) {
				r.say("fault %s", r.Fault)
				s.do(r.cluster)
			}
			return nil
		})
	}
	if r.TakeOut {
		group.Go(func() error { return r.takeOutAndReturn(ctx) })
	}
	done := make(chan struct{})
	var progress errgroup.Group
	progress.Go(func() error {
		r.showProgress(done)
		return nil
	})
	err := group.Wait()
	close(done)
	_ = progress.Wait()
	return err
}

func pauseUntil(ctx context.Context, at time.Time) bool {
	return pause(ctx, time.Until(at))
}

// takeOutAndReturn takes the first failure domain out and brings it back.
func (r *Runner) takeOutAndReturn(ctx context.Context) error {
	d := r.Deployment
	r.domain = d.Domains[0]
	span := r.span()
	if !pauseUntil(ctx, r.clients.began.Add(span*takeOutPercent/100)) {
		return nil
	}
	client := r.clients.client(1, operatorSecret)
	err := r.operate(ctx, func() error {
		_, err := client.TakeOut(ctx, d.Firm, d.Place, r.domain, "demo: maintenance")
		return err
	})
	if err != nil {
		return fmt.Errorf("take out %s: %w", r.domain, err)
	}
	r.takeOut.accepted = time.Since(r.clients.began)
	r.say("failure domain %s is taken out", r.domain)
	if !pauseUntil(ctx, r.clients.began.Add(span*returnPercent/100)) {
		return nil
	}
	// The bring-back takes effect before its reply arrives, so starts count as
	// allowed from the request on.
	r.takeOut.returned = time.Since(r.clients.began)
	err = r.operate(ctx, func() error {
		_, err := client.BringBack(ctx, d.Firm, d.Place, r.domain, "demo: maintenance is over")
		return err
	})
	if err != nil {
		return fmt.Errorf("bring back %s: %w", r.domain, err)
	}
	r.say("failure domain %s is back", r.domain)
	r.takeOut.done = true
	return nil
}

// operate repeats an operator's call until it succeeds, since the call fails during a
// store outage.
func (r *Runner) operate(ctx context.Context, call func() error) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		err := call()
		if err == nil || !pause(ctx, retryPause) {
			return err
		}
	}
}

// slots returns the slots with the windows in which they may not start tasks.
func (r *Runner) slots() []scorer.Slot {
	var slots []scorer.Slot
	for i := range r.Deployment.Endpoints {
		slot := scorer.Slot{Speed: r.Deployment.speed(i)}
		if r.takeOut.done && r.Deployment.domain(i) == r.domain {
			slot.Closed = []scorer.Window{{From: r.takeOut.accepted, To: r.takeOut.returned}}
		}
		for range r.Deployment.Slots {
			slots = append(slots, slot)
		}
	}
	return slots
}

func (r *Runner) say(format string, arguments ...any) {
	if r.Progress != nil {
		fmt.Fprintf(r.Progress, "%6.1fs  %s\n", time.Since(r.clients.began).Seconds(), fmt.Sprintf(format, arguments...))
	}
}

const progressInterval = time.Second

func (r *Runner) showProgress(done <-chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			r.showLine()
		}
	}
}

func (r *Runner) showLine() {
	r.clients.mu.Lock()
	answered := len(r.clients.results)
	complete := 0
	for _, got := range r.clients.results {
		if got.answered && got.outcome.Status == string(messenger.OutcomeComplete) {
			complete++
		}
	}
	r.clients.mu.Unlock()
	waiting, sent := 0, 0
	for _, e := range r.cluster.entries {
		if view := e.entry.Snapshot(); view != nil && !e.isolation.dead.Load() {
			waiting += view.WaitingTasks
			sent += view.SentTasks
		}
	}
	r.say("answered %d of %d jobs, %d complete; tasks: %d waiting, %d at endpoints", answered, len(r.jobs), complete, waiting, sent)
}
