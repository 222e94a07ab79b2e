package placer

import (
	"math/rand/v2"
	"testing"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

func milli(cpu int) messenger.Resources { return messenger.Resources{MilliCPU: cpu, MemoryMB: 1} }

// sized returns an index with endpoints of the given capacities, named e0, e1, ...
func sized(capacities ...int) *Index {
	x := New()
	for i, capacity := range capacities {
		x.Put(epoch, Endpoint{
			Name: "e" + string(rune('0'+i)), Scope: resolver.Scope{Firm: "f", Service: "s"}, Slots: 8,
			Capacity: messenger.Resources{MilliCPU: capacity, MemoryMB: 100},
		})
	}
	return x
}

// Guards against sending tasks to endpoints that lack the resources for them, and
// against free resources that are not used.
func TestCapacity(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, scenario := range []struct {
		name    string
		prepare func(x *Index)
		size    int
		want    string
		reason  string
	}{
		{"fits only one", func(*Index) {}, 3000, "e1", ReasonOnly},
		{"fits none", func(*Index) {}, 5000, "", ReasonNoRoom},
		{"own tasks use resources", func(x *Index) { x.Sent(epoch, "e1", milli(2000)) }, 3000, "", ReasonNoRoom},
		{"tasks of other entries use resources", func(x *Index) {
			x.UpdateLoad(epoch, "e1", messenger.EndpointLoad{Running: 1, Taken: milli(2000)})
		}, 3000, "", ReasonNoRoom},
		{"own tasks are not counted twice", func(x *Index) {
			x.Sent(epoch, "e1", milli(1000))
			x.UpdateLoad(epoch, "e1", messenger.EndpointLoad{Running: 1, Taken: milli(1000)})
		}, 3000, "e1", ReasonOnly},
		{"resources of a returned task are free", func(x *Index) {
			x.Sent(epoch, "e1", milli(2000))
			x.Returned(epoch, "e1", TaskResult{Size: milli(2000), Outcome: NotStarted})
		}, 3000, "e1", ReasonOnly},
		{"failed there before", func(x *Index) { x.Put(epoch, x.members["e1"].Endpoint) }, 500, "e0", ReasonLeastFinish},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			x := sized(2000, 4000)
			scenario.prepare(x)
			var failed []string
			if scenario.want == "e0" {
				failed = []string{"e1"}
			}
			choice, ok := x.Choose(epoch, random, Query{Firm: "f", Service: "s", Size: milli(scenario.size), FailedEndpoints: failed})
			if choice.Endpoint != scenario.want || choice.Reason != scenario.reason || ok != (scenario.want != "") {
				t.Errorf("wrong choice %+v, %v", choice, ok)
			}
		})
	}
}

// Guards against choosing an endpoint where the task has failed while another one could
// run it later, and against waiting if there is no other endpoint.
func TestFailedEndpointIsTheLastResort(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	query := Query{Firm: "f", Service: "s", Size: milli(1000), FailedEndpoints: []string{"e0"}}
	x := sized(1000, 1000)
	x.Sent(epoch, "e1", milli(1000))
	if choice, ok := x.Choose(epoch, random, query); ok || choice.Reason != ReasonHeldBack {
		t.Errorf("with another endpoint: %+v, %v", choice, ok)
	}
	if choice, ok := sized(1000).Choose(epoch, random, query); !ok || choice.Endpoint != "e0" {
		t.Errorf("without another endpoint: %+v, %v", choice, ok)
	}
}

// Guards against an estimate of the free CPU that ignores outstanding tasks.
func TestFreeMilliCPU(t *testing.T) {
	x := sized(2000, 4000)
	x.Sent(epoch, "e0", milli(500))
	if got := x.FreeMilliCPU("f", "s", nil); got != 5500 {
		t.Errorf("%d milli-CPU free, want 5500", got)
	}
	if got := x.FreeMilliCPU("f", "other", nil); got != 0 {
		t.Errorf("%d milli-CPU free for an unknown service, want 0", got)
	}
}
