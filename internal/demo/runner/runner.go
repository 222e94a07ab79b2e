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
	takeOut takeOutTimes
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

// takeOutTimes are the times of a take-out and its bring-back, since the start of the
// load.
type takeOutTimes struct {
	accepted, broughtBack time.Duration
	done                  bool
}

const (
	// startTimeout limits the start of all processes.
	startTimeout = 15 * time.Second
	// The take-out and the bring-back happen at these percentages of the span of the
	// arrivals.
	takeOutPercent   = 35
	bringBackPercent = 65
	// stopTimeout limits the stop of all processes.
	stopTimeout = 20 * time.Second
	// maxTakeOutDelay is the time after the acceptance of a take-out within which it
	// must be in force: later starts in the failure domain violate it.
	maxTakeOutDelay = 3 * time.Second
)

// Run starts the processes, runs the load and returns the report.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	startedAt := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
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
	if err := r.runLoad(ctx); err != nil {
		return nil, err
	}
	report, err := r.report()
	if err != nil {
		return nil, err
	}
	if err := r.stop(ctx, group); err != nil {
		return nil, err
	}
	report.ElapsedSeconds = time.Since(startedAt).Seconds()
	return report, nil
}

func (r *Runner) stop(ctx context.Context, group *errgroup.Group) error {
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	defer r.clients.http.CloseIdleConnections()
	defer r.cluster.http.CloseIdleConnections()
	r.cluster.stop(stopCtx)
	if r.cluster.anyCrashed() {
		// A crashed daemon cannot drain; it ends with this process.
		return nil
	}
	return group.Wait()
}

// span returns the time of the last arrival.
func (r *Runner) span() time.Duration {
	return r.jobs[len(r.jobs)-1].arrival
}

// runLoad submits the jobs in an open loop, and concurrently injects the faults and
// performs the take-out.
func (r *Runner) runLoad(ctx context.Context) error {
	r.clients.startedAt = time.Now()
	var group errgroup.Group
	for number, job := range r.jobs {
		group.Go(func() error {
			if sleepUntil(ctx, r.clients.startedAt.Add(job.arrival)) {
				r.clients.submit(ctx, number, job)
			}
			return nil
		})
		if job.resubmit {
			group.Go(func() error {
				if sleepUntil(ctx, r.clients.startedAt.Add(job.arrival)) {
					r.clients.resubmit(ctx, number, job)
				}
				return nil
			})
		}
	}
	for _, s := range faultPlan(r.Fault, r.span()) {
		group.Go(func() error {
			if sleepUntil(ctx, r.clients.startedAt.Add(s.at)) {
				r.printProgress("fault %s", r.Fault)
				s.run(r.cluster)
			}
			return nil
		})
	}
	if r.TakeOut {
		group.Go(func() error { return r.takeOutAndBringBack(ctx) })
	}
	done := make(chan struct{})
	var progress errgroup.Group
	progress.Go(func() error {
		r.reportProgress(done)
		return nil
	})
	err := group.Wait()
	close(done)
	_ = progress.Wait()
	return err
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	return sleep(ctx, time.Until(at))
}

// takeOutAndBringBack takes the first failure domain out and brings it back.
func (r *Runner) takeOutAndBringBack(ctx context.Context) error {
	d := r.Deployment
	r.domain = d.Domains[0]
	span := r.span()
	if !sleepUntil(ctx, r.clients.startedAt.Add(span*takeOutPercent/100)) {
		return nil
	}
	client := r.clients.client(1, operatorSecret)
	err := r.repeatUntilDone(ctx, func() error {
		_, err := client.TakeOut(ctx, d.Firm, d.Place, r.domain, "demo: maintenance")
		return err
	})
	if err != nil {
		return fmt.Errorf("take out %s: %w", r.domain, err)
	}
	r.takeOut.accepted = time.Since(r.clients.startedAt)
	r.printProgress("failure domain %s is taken out", r.domain)
	if !sleepUntil(ctx, r.clients.startedAt.Add(span*bringBackPercent/100)) {
		return nil
	}
	// The bring-back takes effect before its reply arrives, so starts count as
	// allowed from the request on.
	r.takeOut.broughtBack = time.Since(r.clients.startedAt)
	err = r.repeatUntilDone(ctx, func() error {
		_, err := client.BringBack(ctx, d.Firm, d.Place, r.domain, "demo: maintenance is over")
		return err
	})
	if err != nil {
		return fmt.Errorf("bring back %s: %w", r.domain, err)
	}
	r.printProgress("failure domain %s is back", r.domain)
	r.takeOut.done = true
	return nil
}

// repeatUntilDone repeats an operator's call until it succeeds or callTimeout has
// passed. A call fails during a store outage.
func (r *Runner) repeatUntilDone(ctx context.Context, call func() error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		err := call()
		if err == nil || !sleep(ctx, retryDelay) {
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
			slot.Closed = []scorer.Window{{From: r.takeOut.accepted, To: r.takeOut.broughtBack}}
		}
		for range r.Deployment.Slots {
			slots = append(slots, slot)
		}
	}
	return slots
}

func (r *Runner) printProgress(format string, arguments ...any) {
	if r.Progress != nil {
		fmt.Fprintf(r.Progress, "%6.1fs  %s\n", time.Since(r.clients.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
	}
}

const progressInterval = time.Second

func (r *Runner) reportProgress(done <-chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			r.reportJobs()
		}
	}
}

func (r *Runner) reportJobs() {
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
		if view := e.entry.Snapshot(); view != nil && !e.isolation.crashed.Load() {
			waiting += view.WaitingTasks
			sent += view.SentTasks
		}
	}
	r.printProgress("answered %d of %d jobs, %d complete; tasks: %d waiting, %d at endpoints", answered, len(r.jobs), complete, waiting, sent)
}
