package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// packingHosts is more than the number of endpoints of which Choose compares all.
const packingHosts = 40

// packingSizes are the mean sizes of tasks, in thousandths of a core, on hosts of 16 and 24
// cores: those of lamis-ops, lamis-ops-large and prpbn-dispatch, and one of no deployment.
var packingSizes = []int{1600, 3800, 6200, 2700}

func newPackingIndex() *Index {
	x := New()
	for i := range packingHosts {
		x.Put(epoch, Endpoint{
			Name: fmt.Sprintf("e%02d", i), Scope: resolver.Scope{Firm: "f", Service: "s"}, Slots: 8,
			Capacity: messenger.Resources{MilliCPU: []int{16000, 16000, 24000}[i%3], MemoryMB: 32768},
		})
	}
	return x
}

// Guards against tasks that wait although an endpoint has room for them. On days of
// lamis-ops-large, tasks of 3.8 cores leave many endpoints with some room but not enough,
// and a random sample of the endpoints with some room often finds none that fits.
func TestTasksWaitOnlyIfNoEndpointHasRoom(t *testing.T) {
	for _, mean := range packingSizes {
		t.Run(fmt.Sprint(mean), func(t *testing.T) {
			x, random := newPackingIndex(), rand.New(rand.NewPCG(1, uint64(mean)))
			for waiting := 0; waiting < packingHosts; {
				size := milli(mean*4/5 + random.IntN(mean*2/5))
				choice, ok := x.Choose(epoch, random, Query{Firm: "f", Service: "s", Size: size})
				if ok {
					x.Sent(epoch, choice.Endpoint, size)
					continue
				}
				waiting++
				for _, m := range x.members {
					if m.hasRoomFor(size) {
						t.Fatalf("a task of %d waits, %s has %d free", size.MilliCPU, m.Name, m.freeResources().MilliCPU)
					}
				}
			}
		})
	}
}
