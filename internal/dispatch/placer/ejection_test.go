package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Guards against wrong transitions in the life cycle of an endpoint: ramp-up, ejection,
// doubling of the ejection time, probing with a single task, and readmission.
func TestStates(t *testing.T) {
	x, now := fleet(6)
	after := func(d time.Duration, want string) {
		t.Helper()
		now = now.Add(d)
		x.UpdateLoad(now, "e0", messenger.EndpointLoad{Running: x.Outstanding("e0")})
		if got := x.State("e0"); got != want {
			t.Errorf("at %v: %s, want %s", now.Sub(epoch), got, want)
		}
	}
	probe := func(v Outcome) {
		x.Sent(now, "e0", anyTask)
		if x.members["e0"].free {
			t.Error("a second probe is possible")
		}
		x.Returned(now, "e0", TaskResult{Outcome: v, RunTime: time.Second})
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
	fail(x, now, "e0", 2)
	after(2*time.Second-1, StateEjected) // the ejection time is reset
	after(1, StateProbing)
	probe(Succeeded)
	after(time.Second, StateIn)
	for _, step := range []struct {
		block BlockReason
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
	x.UpdateLoad(now, "e0", messenger.EndpointLoad{Draining: true})
	if got := x.State("e0"); got != StateDraining {
		t.Errorf("state %s after a report of draining, want draining", got)
	}
}

// Guards against ejecting the last endpoint of a failure domain or more than half of a
// service, and against keeping an ejection that exceeds these limits after another
// endpoint was blocked or removed.
func TestEjectionLimits(t *testing.T) {
	x, now := fleet(6) // e0 and e3 share d0
	fail(x, now, "e0", 9)
	fail(x, now, "e3", 9)
	if x.State("e0") != StateEjected || x.State("e3") != StateIn {
		t.Errorf("e0 is %s and e3 %s, want only e0 ejected", x.State("e0"), x.State("e3"))
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
		t.Errorf("of four endpoints, e1 is %s and e2 %s, want both ejected", x.State("e1"), x.State("e2"))
	}
	x.Remove("e4")
	if x.State("e1") != StateRamping || x.State("e2") != StateEjected {
		t.Errorf("of three endpoints, e1 is %s and e2 %s, want only e2 ejected", x.State("e1"), x.State("e2"))
	}
}

// Guards against ejecting more than half of a service's endpoints.
func TestHalfOfServiceStays(t *testing.T) {
	x := New()
	for i := range 9 {
		x.Put(epoch, endpoint(fmt.Sprint("e", i), "d"))
	}
	for i := range 9 {
		fail(x, epoch, fmt.Sprint("e", i), 9)
	}
	if x.Ejections() != 4 {
		t.Errorf("%d of 9 ejected, want 4", x.Ejections())
	}
}

// Guards against using the result of a task that was sent before the ejection as the
// result of the probe.
func TestOldTasksDoNotDecideProbe(t *testing.T) {
	for name, verdict := range map[string]Outcome{"success": Succeeded, "failure": Failed} {
		t.Run(name, func(t *testing.T) {
			x, now := fleet(6)
			x.Sent(now, "e0", anyTask)
			fail(x, now, "e0", 2)
			now = now.Add(2 * time.Second)
			x.Returned(now, "e0", TaskResult{Outcome: verdict, RunTime: time.Second})
			if got := x.State("e0"); got != StateProbing {
				t.Errorf("state %s, want probing", got)
			}
		})
	}
}

// Guards against an update of one endpoint that ends the ejection of another.
func TestPutKeepsEjections(t *testing.T) {
	x, now := fleet(4)
	fail(x, now, "e0", 2)
	fail(x, now, "e1", 2) // not ejected, because it is the only endpoint of d1
	x.Put(now, endpoint("e4", "d1"))
	fail(x, now, "e1", 1)
	x.Put(now, endpoint("e2", "d2"))
	if x.State("e0") != StateEjected || x.State("e1") != StateEjected || x.State("e2") != StateIn {
		t.Errorf("e0 is %s, e1 %s and e2 %s, want e0 and e1 ejected", x.State("e0"), x.State("e1"), x.State("e2"))
	}
}

// Guards against sending most tasks to an endpoint whose tasks all fail immediately, so
// that it always appears idle and fast.
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
					t.Fatal("no endpoint was chosen")
				}
				x.Sent(now, c.Endpoint, anyTask)
				result := TaskResult{RunTime: time.Second}
				if c.Endpoint == "e0" {
					result = TaskResult{RunTime: time.Millisecond, Outcome: Failed}
					failures++
				}
				x.Returned(now, c.Endpoint, result)
			}
			// Two consecutive failures eject the endpoint. All further ones are probes.
			if failures > 2+int(x.Ejections()) {
				t.Errorf("%d of %d tasks failed", failures, 20*n)
			}
		})
	}
}
