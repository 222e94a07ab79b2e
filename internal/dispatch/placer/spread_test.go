package placer

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Guards against choosing a slow endpoint at random while a fast one has free slots, and
// against a reason that states the least expected finish for a random choice.
func TestSpreadDrawsAmongNearEquals(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	x := New()
	x.Policy.Spread = 0.3
	// The run time at each endpoint relative to the mean.
	factors := map[string]float64{"best": 1, "near": 1.1, "slow": 1.8}
	for name, factor := range factors {
		x.Put(now, Endpoint{Name: name, Slots: 4, Scope: resolver.Scope{Firm: "lamis", Service: "dispatch"}})
		x.UpdateLoad(now, name, messenger.EndpointLoad{Slots: 4, Slowness: math.Log(factor), Runs: 100})
	}
	reasons := map[string]string{}
	for range 100 {
		choice, ok := x.Choose(now, random, Query{Firm: "lamis", Service: "dispatch"})
		if !ok {
			t.Fatal("no endpoint was chosen")
		}
		reasons[choice.Endpoint] = choice.Reason
	}
	want := map[string]string{"best": ReasonLeastFinish, "near": ReasonNearLeast}
	if diff := cmp.Diff(want, reasons); diff != "" {
		t.Error(diff)
	}
}
