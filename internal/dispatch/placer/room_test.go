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

// Guards against tasks that are sent to endpoints without room, and against room
// that stays unused.
func TestRoom(t *testing.T) {
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
		{"own tasks take room", func(x *Index) { x.Sent(epoch, "e1", milli(2000)) }, 3000, "", ReasonNoRoom},
		{"tasks of other entries take room", func(x *Index) {
			x.UpdateLoad(epoch, "e1", messenger.EndpointLoad{Running: 1, Taken: milli(2000)})
		}, 3000, "", ReasonNoRoom},
		{"own tasks are not counted twice", func(x *Index) {
			x.Sent(epoch, "e1", milli(1000))
			x.UpdateLoad(epoch, "e1", messenger.EndpointLoad{Running: 1, Taken: milli(1000)})
		}, 3000, "e1", ReasonOnly},
		{"room comes back", func(x *Index) {
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
				t.Errorf("chose %+v, %v", choice, ok)
			}
		})
	}
}

// Guards against a task that goes back to where it has failed while it could wait
// for another endpoint, and against one that waits where there is none.
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

// Guards against an estimate of the room that leaves out what is under way.
func TestRoomMilliCPU(t *testing.T) {
	x := sized(2000, 4000)
	x.Sent(epoch, "e0", milli(500))
	if got := x.FreeMilliCPU("f", "s", nil); got != 5500 {
		t.Errorf("room %d", got)
	}
	if got := x.FreeMilliCPU("f", "other", nil); got != 0 {
		t.Errorf("room of an unknown service %d", got)
	}
}
