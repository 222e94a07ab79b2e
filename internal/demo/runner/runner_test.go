package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

func testRunner(t *testing.T, deployment string, fault Fault, takeOut bool) *Runner {
	t.Helper()
	d, err := FindDeployment(deployment)
	if err != nil {
		t.Fatal(err)
	}
	return &Runner{
		Deployment: d, Seed: 3, Jobs: 15, Load: 0.7, Fault: fault, TakeOut: takeOut, Logger: zap.NewNop(),
	}
}

// Guards against goroutines that outlive a graceful stop of all processes. It must
// be the first test: the goroutines of daemons that other tests crash run until the
// process ends.
func TestGracefulStopLeavesNoGoroutine(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	r := testRunner(t, "lamis", FaultNone, false)
	r.Jobs = 3
	if _, err := r.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	goleak.VerifyNone(t, ignore)
}

// Guards against faults that appear only when the parts work together: the test runs
// the whole path, QUIC and HTTP included, with each kind of crash. The processes
// share a virtual clock and a network in memory, so that a busy machine cannot cause
// time-outs between them.
func TestWholePathKeepsTheInvariants(t *testing.T) {
	for _, test := range []struct {
		deployment string
		fault      Fault
		takeOut    bool
	}{
		{"lamis", FaultNone, true},
		{"apfm", FaultEntryCrash, false},
		{"lamis", FaultAgentCrash, false},
		{"apfm", FaultStoreLostReply, true},
		{"lamis", FaultSilentConnection, false},
	} {
		t.Run(test.deployment+"/"+string(test.fault), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				r := testRunner(t, test.deployment, test.fault, test.takeOut)
				r.network = &memoryNetwork{}
				checkInvariants(t, r)
			})
		})
	}
}

func checkInvariants(t *testing.T, r *Runner) {
	t.Helper()
	report, err := r.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	// The virtual clock stops when the test returns, so crashed daemons must have
	// ended before.
	if err := r.cluster.group.Wait(); err != nil {
		t.Error(err)
	}
	for _, broken := range report.Violations() {
		t.Errorf("seed %d: %s", r.Seed, broken)
	}
	if r.Fault == FaultNone && report.Complete != report.Jobs {
		t.Errorf("seed %d: %d of %d jobs complete without a fault", r.Seed, report.Complete, report.Jobs)
		logIncomplete(t, r)
	}
}

// Guards against a violated invariant that the report does not list.
func TestViolationsListEachInvariant(t *testing.T) {
	sound := Report{Jobs: 1, Complete: 1, TaskStarts: 1}
	if broken := sound.Violations(); len(broken) > 0 {
		t.Errorf("got %q for a sound run", broken)
	}
	for name, report := range map[string]Report{
		"double start":         {DoubleStarts: 1},
		"start after take-out": {StartsAfterTakeOut: 1},
		"wrong answer":         {WrongAnswers: 1},
		"untrue not_run":       {UntrueNotRun: 1},
		"slot violation":       {SlotViolations: 1},
		"unanswered":           {Unanswered: 1},
	} {
		if len(report.Violations()) != 1 {
			t.Errorf("%s: got %q", name, report.Violations())
		}
	}
}

// Guards against a load that offers another share of the capacity than requested.
func TestPlannedLoadMatchesTheShare(t *testing.T) {
	d, err := FindDeployment("apfm")
	if err != nil {
		t.Fatal(err)
	}
	const share = 0.6
	jobs := planLoad(d, 1, 2000, share)
	var work time.Duration
	for _, job := range scorerJobs(jobs) {
		for _, task := range job.Tasks {
			work += task.RunTime
		}
	}
	offered := work.Seconds() / jobs[len(jobs)-1].arrival.Seconds() / d.capacity()
	if offered < share*0.9 || offered > share*1.1 {
		t.Errorf("offered %.3f of the capacity, want %.3f", offered, share)
	}
}

// logIncomplete logs why jobs did not complete.
func logIncomplete(t *testing.T, r *Runner) {
	t.Helper()
	for _, got := range r.clients.results {
		if got.answered && got.outcome.Status == translator.StatusComplete {
			continue
		}
		t.Logf("%s: %s %s, %v", r.jobs[got.job].id, got.outcome.Status, got.outcome.Reason, got.refused)
		for i, task := range got.outcome.Tasks {
			if task.State != messenger.TaskSucceeded {
				t.Logf("task %d: %s %s", i, task.State, task.Reason)
			}
		}
	}
}
