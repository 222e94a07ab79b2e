package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

var anyTask = messenger.Resources{}

// fleet returns an index of n endpoints in three failure domains, and a time at which
// their ramp-up is complete.
func fleet(n int) (*Index, time.Time) {
	x := New()
	for i := range n {
		x.Put(epoch, endpoint(fmt.Sprint("e", i), fmt.Sprint("d", i%3)))
	}
	return x, epoch.Add(time.Second)
}

func fail(x *Index, now time.Time, name string, times int) {
	for range times {
		x.Sent(now, name, anyTask)
		x.Returned(now, name, TaskResult{Outcome: Failed})
	}
}

// Guards against a ramp-up that permits all slots at once, or that ends before all slots
// are permitted.
func TestRampUpIsLinear(t *testing.T) {
	x := New()
	x.Put(epoch, endpoint("e", "d"))
	for i, elapsed := range []time.Duration{0, 499, 500, 999, 1000} {
		now := epoch.Add(elapsed * time.Millisecond).Add(time.Duration(min(i, 1)) * time.Microsecond)
		for range 5 {
			if c, ok := x.Choose(now, nil, Query{Firm: "f", Service: "s"}); ok {
				x.Sent(now, c.Endpoint, anyTask)
			}
		}
		if got, want := x.Outstanding("e"), []int{1, 1, 2, 2, 3}[i]; got != want {
			t.Errorf("after %d ms: %d tasks, want %d", elapsed, got, want)
		}
	}
}

// Guards against using an urgent task as a probe, against never probing an endpoint, and
// against a retry at the endpoint to avoid while another one is eligible.
func TestChoosePreferences(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		query  Query
		want   string
		reason string
	}{
		{"probe when it is the fastest", Query{}, "e0", ReasonProbe},
		{"urgent elsewhere", Query{Urgent: true}, "e1", ReasonLeastFinish},
		{"avoided", Query{Avoid: "e0"}, "e1", ReasonOnly},
		{"avoid an eligible endpoint", Query{Avoid: "e1"}, "e0", ReasonProbe},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			x := New()
			for i := range 2 {
				x.Put(epoch, endpoint(fmt.Sprint("e", i), "d"))
			}
			now := epoch.Add(time.Second)
			for i := range 100 {
				name := fmt.Sprint("e", i%2)
				x.Sent(now, name, anyTask)
				x.Returned(now, name, TaskResult{RunTime: time.Duration(1+3*(i%2)) * time.Second})
			}
			fail(x, now, "e0", 2)
			q := scenario.query
			q.Firm, q.Service = "f", "s"
			c, _ := x.Choose(now.Add(2*time.Second), nil, q)
			if c.Endpoint != scenario.want || c.Reason != scenario.reason {
				t.Errorf("choice %+v, want %s, %s", c, scenario.want, scenario.reason)
			}
		})
	}
}

// Guards against a retry that waits forever because the only endpoint is the one to
// avoid.
func TestAvoidYieldsToOnlyEndpoint(t *testing.T) {
	x, now := fleet(1)
	if _, ok := x.Choose(now, nil, Query{Firm: "f", Service: "s", Avoid: "e0"}); !ok {
		t.Error("no endpoint was chosen")
	}
}

// Guards against a single very long task that makes a new endpoint appear so slow that
// it is no longer chosen.
func TestEffectOfOneLongTaskIsLimited(t *testing.T) {
	x, now := fleet(2)
	for range 50 {
		x.Returned(now, "e0", TaskResult{RunTime: 100 * time.Millisecond})
	}
	x.Returned(now, "e1", TaskResult{RunTime: time.Minute})
	if factor := x.members["e1"].factor; factor > 5 {
		t.Errorf("one task made the endpoint %.1f times slower", factor)
	}
}

// Guards against a wrong answer whether a task can run.
func TestFit(t *testing.T) {
	x := New()
	fit := func(want Fit, labels ...string) {
		t.Helper()
		if got := x.Fit("f", "s", labels); got != want {
			t.Errorf("labels %v: %d, want %d", labels, got, want)
		}
	}
	fit(FitNone)
	x.Put(epoch, endpoint("a", "d", "gpu"))
	x.Put(epoch, endpoint("b", "d", "gpu", "big"))
	fit(FitOK)
	fit(FitOK, "big", "gpu")
	fit(FitNever, "tape")
	x.Block(epoch, "b", BlockSilent)
	fit(FitBlocked, "big")
	fit(FitOK, "gpu")
	x.Put(epoch, endpoint("a", "d", "tape"))
	fit(FitOK, "tape")
	fit(FitBlocked, "gpu")
	x.Remove("a")
	x.Remove("b")
	fit(FitNone)
}

// Guards against memory that grows without limit with the callers' label sets, and
// against corrupt free lists after a class was removed.
func TestClassesAreBounded(t *testing.T) {
	x := New()
	labels := make([]string, 3*maxClasses)
	for i := range labels {
		labels[i] = fmt.Sprint(i)
	}
	x.Put(epoch, endpoint("a", "d", labels...))
	x.Put(epoch, endpoint("b", "d", labels...))
	for i := range labels {
		c, ok := x.Choose(epoch, nil, Query{Firm: "f", Service: "s", Labels: labels[i : i+1]})
		if !ok {
			t.Fatalf("label %d: no endpoint was chosen", i)
		}
		x.Sent(epoch, c.Endpoint, anyTask)
		x.Returned(epoch, c.Endpoint, TaskResult{Outcome: NotStarted})
	}
	p := x.members["a"].pool
	if len(p.classes) != maxClasses || len(p.labelled) != maxClasses || len(x.members["a"].memberships) != maxClasses+1 {
		t.Errorf("%d classes, %d memberships of a", len(p.classes), len(x.members["a"].memberships))
	}
}

// Guards against counting this entry's own tasks twice when a report includes them, and
// against a negative load of other entries.
func TestReportedLoad(t *testing.T) {
	x, now := fleet(1)
	x.Sent(now, "e0", anyTask)
	for _, scenario := range []struct{ running, queued, used int }{{0, 0, 1}, {1, 0, 1}, {2, 1, 3}, {1, 1, 2}} {
		x.UpdateLoad(now, "e0", messenger.EndpointLoad{Running: scenario.running, Queued: scenario.queued})
		if got := x.members["e0"].used(); got != scenario.used {
			t.Errorf("%+v: %d slots used", scenario, got)
		}
	}
}

// Guards against an entry that uses its own observations of an endpoint's speed although
// the agent reports one observed over the tasks of all entries.
func TestReportedSpeed(t *testing.T) {
	x, now := fleet(2)
	x.UpdateLoad(now, "e0", messenger.EndpointLoad{Slowness: 1, Runs: 10})
	x.Sent(now, "e0", anyTask)
	x.Returned(now, "e0", TaskResult{Outcome: Succeeded, RunTime: time.Millisecond})
	if got := x.members["e0"].slowness; got != 1 {
		t.Errorf("slowness %.3f, want the reported 1", got)
	}
	if c, ok := x.Choose(now, nil, Query{Firm: "f", Service: "s"}); !ok || c.Endpoint != "e1" {
		t.Errorf("chose %q", c.Endpoint)
	}
}

// Guards against wrong observed speeds if declared times are wrong by a factor of up to
// 5, unrelated to the run times or missing.
func TestObservedSpeed(t *testing.T) {
	for _, scenario := range []struct {
		name     string
		declared func(r *rand.Rand, work float64) float64
	}{
		{"none", func(*rand.Rand, float64) float64 { return 0 }},
		{"off by five", func(r *rand.Rand, work float64) float64 { return work * randomErrorFactor(r) }},
		{"unrelated", func(r *rand.Rand, _ float64) float64 { return randomErrorFactor(r) }},
		{"slow endpoint's five times too short", func(r *rand.Rand, work float64) float64 { return work / 5 }},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			x, now := fleet(2)
			r := rand.New(rand.NewPCG(1, 2))
			for i := range 2000 {
				work := 0.2 * randomErrorFactor(r) // 40 ms to 1 s
				slow := 1 + 3*(i%2)
				x.Sent(now, fmt.Sprint("e", i%2), anyTask)
				x.Returned(now, fmt.Sprint("e", i%2), TaskResult{
					RunTime:  time.Duration(float64(slow) * work * float64(time.Second)),
					Declared: time.Duration(scenario.declared(r, work) * float64(time.Second)),
				})
			}
			ratio := x.members["e1"].factor / x.members["e0"].factor
			if ratio < 2.5 || ratio > 6.4 {
				t.Errorf("observed run time factor of the slow endpoint %.2f, want about 4", ratio)
			}
		})
	}
}

// randomErrorFactor returns a factor between 1/5 and 5, distributed evenly on a
// logarithmic scale.
func randomErrorFactor(r *rand.Rand) float64 {
	return math.Pow(5, 2*r.Float64()-1)
}

// Guards against holding back a task although no faster endpoint will soon be free, and
// against starting a task on a slow endpoint just before a fast one is free.
func TestHoldBack(t *testing.T) {
	for _, scenario := range []struct {
		name          string
		waiting       int
		sinceActivity time.Duration
		blocked       bool
		held          bool
	}{
		{"fast slot soon", 1, 0, false, true},
		{"position unknown", 0, 0, false, false},
		{"many tasks before it", 50, 0, false, false},
		{"fast endpoint runs long tasks", 1, 10 * time.Second, false, false},
		{"fast endpoint blocked", 1, 0, true, false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			x, now := fleet(2)
			for i := range 200 {
				name := fmt.Sprint("e", i%2)
				x.Sent(now, name, anyTask)
				x.Returned(now, name, TaskResult{RunTime: time.Duration(1+3*(i%2)) * 100 * time.Millisecond})
			}
			for range 3 {
				x.Sent(now, "e0", anyTask)
			}
			if scenario.blocked {
				x.Block(now, "e0", BlockSilent)
			}
			q := Query{Firm: "f", Service: "s", WaitPosition: scenario.waiting}
			c, ok := x.Choose(now.Add(scenario.sinceActivity), nil, q)
			if held := c.Reason == ReasonHeldBack; held != scenario.held || ok == held {
				t.Errorf("wrong choice %+v, %v", c, ok)
			}
		})
	}
}
