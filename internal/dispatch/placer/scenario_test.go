package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

var anyTask = messenger.TaskKey{}

// fleet returns an index of n endpoints that have ramped up, spread over three
// failure domains, and the time.
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
		x.Returned(now, name, Returned{Verdict: Failed})
	}
}

// Guards against wrong steps in the life cycle of an endpoint: ramp-up, ejection,
// doubling, probing with a single task, and return.
func TestStates(t *testing.T) {
	x, now := fleet(6)
	after := func(d time.Duration, want string) {
		t.Helper()
		now = now.Add(d)
		x.Told(now, "e0", messenger.EndpointLoad{Running: x.Outstanding("e0")})
		if got := x.State("e0"); got != want {
			t.Errorf("at %v: %s, want %s", now.Sub(epoch), got, want)
		}
	}
	probe := func(v Verdict) {
		x.Sent(now, "e0", anyTask)
		if x.members["e0"].free {
			t.Error("a second probe is possible")
		}
		x.Returned(now, "e0", Returned{Verdict: v, RunTime: time.Second})
	}
	after(0, StateIn)
	fail(x, now, "e0", 1)
	after(0, StateIn)
	fail(x, now, "e0", 1)
	after(0, StateEjected)
	after(2*time.Second-1, StateEjected)
	after(1, StateProbing)
	for _, seconds := range []time.Duration{4, 8, 16, 32, 60, 60} {
		probe(Failed)
		after(seconds*time.Second-1, StateEjected)
		after(1, StateProbing)
	}
	probe(Lost)
	after(0, StateProbing)
	probe(Succeeded)
	after(0, StateRamping)
	after(time.Second, StateIn)
	if x.Ejections() != 7 {
		t.Errorf("%d ejections, want 7", x.Ejections())
	}
	for _, step := range []struct {
		block Block
		want  string
	}{{BlockSilent, StateSilent}, {BlockDraining, StateDraining}, {BlockDomainOut, StateDomainOut}} {
		x.Block(now, "e0", step.block)
		after(0, step.want)
	}
	x.Unblock(now, "e0", BlockDomainOut)
	x.Unblock(now, "e0", BlockDraining)
	after(0, StateSilent)
	x.Unblock(now, "e0", BlockSilent)
	after(0, StateRamping)
	x.Told(now, "e0", messenger.EndpointLoad{Draining: true})
	if got := x.State("e0"); got != StateDraining {
		t.Errorf("%s after a report of draining", got)
	}
}

// Guards against a ramp-up that gives an endpoint its whole share at once, or
// that stops short of it.
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

// Guards against ejecting the last endpoint of a failure domain or more than
// half of a service, and against keeping an ejection that has become too much.
func TestEjectionLimits(t *testing.T) {
	x, now := fleet(6) // e0 and e3 share d0
	fail(x, now, "e0", 9)
	fail(x, now, "e3", 9)
	if x.State("e0") != StateEjected || x.State("e3") != StateIn {
		t.Errorf("e0 %s, e3 %s", x.State("e0"), x.State("e3"))
	}
	x.Block(now, "e3", BlockSilent)
	if x.State("e0") != StateRamping {
		t.Errorf("e0 is %s although e3 is silent", x.State("e0"))
	}
	fail(x, now, "e1", 9)
	fail(x, now, "e2", 9)
	x.Remove("e0")
	x.Remove("e3")
	if x.State("e1") != StateEjected || x.State("e2") != StateEjected {
		t.Errorf("e1 %s, e2 %s of four", x.State("e1"), x.State("e2"))
	}
	x.Remove("e4")
	if x.State("e1") != StateRamping || x.State("e2") != StateEjected {
		t.Errorf("e1 %s, e2 %s of three", x.State("e1"), x.State("e2"))
	}
}

// Guards against an update of settings that ends an ejection elsewhere.
func TestPutKeepsEjections(t *testing.T) {
	x, now := fleet(4)
	fail(x, now, "e0", 2)
	fail(x, now, "e1", 2) // the only one in d1, so it stays
	x.Put(now, endpoint("e4", "d1"))
	fail(x, now, "e1", 1)
	x.Put(now, endpoint("e2", "d2"))
	if x.State("e0") != StateEjected || x.State("e1") != StateEjected || x.State("e2") != StateIn {
		t.Errorf("%s, %s, %s", x.State("e0"), x.State("e1"), x.State("e2"))
	}
}

// Guards against an endpoint that fails everything at once and therefore always
// looks idle and fast.
func TestFailingEndpointStopsAttractingTasks(t *testing.T) {
	for _, n := range []int{2, 11, 110} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			x, now := fleet(n)
			r := rand.New(rand.NewPCG(1, 1))
			failures := 0
			for range 20 * n {
				now = now.Add(10 * time.Millisecond)
				c, ok := x.Choose(now, r, Query{Firm: "f", Service: "s"})
				if !ok {
					t.Fatal("nothing is free")
				}
				x.Sent(now, c.Endpoint, anyTask)
				result := Returned{RunTime: time.Second}
				if c.Endpoint == "e0" {
					result = Returned{RunTime: time.Millisecond, Verdict: Failed}
					failures++
				}
				x.Returned(now, c.Endpoint, result)
			}
			// Two in a row eject; the rest are probes.
			if failures > 2+int(x.Ejections()) {
				t.Errorf("%d of %d tasks failed", failures, 20*n)
			}
		})
	}
}

// Guards against a wrong answer to whether a task can ever run.
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

// Guards against label sets from callers that fill the memory, and against free
// lists that break when a class is dropped.
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
			t.Fatalf("label %d: no choice", i)
		}
		x.Sent(epoch, c.Endpoint, anyTask)
		x.Returned(epoch, c.Endpoint, Returned{Verdict: NotStarted})
	}
	p := x.members["a"].pool
	if len(p.classes) != maxClasses || len(p.labelled) != maxClasses || len(x.members["a"].seats) != maxClasses+1 {
		t.Errorf("%d classes, %d seats", len(p.classes), len(x.members["a"].seats))
	}
}

// Guards against load of others that is counted twice or below zero.
func TestToldLoad(t *testing.T) {
	x, now := fleet(1)
	x.Sent(now, "e0", anyTask)
	for _, scenario := range []struct{ running, queued, used int }{{0, 0, 1}, {1, 0, 1}, {2, 1, 3}, {1, 1, 2}} {
		x.Told(now, "e0", messenger.EndpointLoad{Running: scenario.running, Queued: scenario.queued})
		if got := x.members["e0"].used(); got != scenario.used {
			t.Errorf("%+v: %d slots used", scenario, got)
		}
	}
}

// Guards against speeds that do not recover from declared times wrong by up to
// five times, whether or not the declared times carry information.
func TestObservedSpeed(t *testing.T) {
	for _, scenario := range []struct {
		name     string
		declared func(r *rand.Rand, work float64) float64
	}{
		{"none", func(*rand.Rand, float64) float64 { return 0 }},
		{"off by five", func(r *rand.Rand, work float64) float64 { return work * wrong(r) }},
		{"unrelated", func(r *rand.Rand, _ float64) float64 { return wrong(r) }},
		{"slow endpoint's five times too short", func(r *rand.Rand, work float64) float64 { return work / 5 }},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			x, now := fleet(2)
			r := rand.New(rand.NewPCG(1, 2))
			for i := range 2000 {
				work := 0.2 * wrong(r) // 40 ms to 1 s
				slow := 1 + 3*(i%2)
				x.Sent(now, fmt.Sprint("e", i%2), anyTask)
				x.Returned(now, fmt.Sprint("e", i%2), Returned{
					RunTime:  time.Duration(float64(slow) * work * float64(time.Second)),
					Declared: time.Duration(scenario.declared(r, work) * float64(time.Second)),
				})
			}
			ratio := x.members["e1"].factor / x.members["e0"].factor
			if ratio < 2.5 || ratio > 6.4 {
				t.Errorf("the slow endpoint is observed as %.2f times slower, want 4", ratio)
			}
		})
	}
}

// wrong returns a factor between 1/5 and 5, spread evenly on a logarithmic scale.
func wrong(r *rand.Rand) float64 {
	return math.Pow(5, 2*r.Float64()-1)
}

// Guards against a task that waits although no faster endpoint is in sight, and
// against one that starts on a slow endpoint just before a fast one is free.
func TestHoldBack(t *testing.T) {
	for _, scenario := range []struct {
		name    string
		waiting int
		quiet   time.Duration
		blocked bool
		held    bool
	}{
		{"fast slot soon", 1, 0, false, true},
		{"place unknown", 0, 0, false, false},
		{"many before it", 50, 0, false, false},
		{"fast endpoint held up by long tasks", 1, 10 * time.Second, false, false},
		{"fast endpoint blocked", 1, 0, true, false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			x, now := fleet(2)
			for i := range 200 {
				name := fmt.Sprint("e", i%2)
				x.Sent(now, name, anyTask)
				x.Returned(now, name, Returned{RunTime: time.Duration(1+3*(i%2)) * 100 * time.Millisecond})
			}
			for range 3 {
				x.Sent(now, "e0", anyTask)
			}
			if scenario.blocked {
				x.Block(now, "e0", BlockSilent)
			}
			q := Query{Firm: "f", Service: "s", Waiting: scenario.waiting}
			c, ok := x.Choose(now.Add(scenario.quiet), nil, q)
			if held := c.Reason == ReasonHeldBack; held != scenario.held || ok == held {
				t.Errorf("%+v, %v", c, ok)
			}
		})
	}
}
