package coordinator

import (
	"testing"
	"time"
)

// Pattern: the clients of another zone come to the only entry of a zone, which has a
// fifth of a processor core (shift on lamis-ops-grown scale-2: 450 calls a second at
// an entry that can take 220). The endpoints have room for all of them.
const (
	// strainProcessorTime for a call, its two orders and its two results makes 15 ms: 67 jobs a
	// second, of the 100 that the endpoints can take and that come.
	strainProcessorTime = 3 * time.Millisecond
	strainOffered       = 100.0
	strainServeable     = 1 / (5 * 0.003)
)

// Guards against an entry whose processor is too slow for its callers and that makes
// all of them late, instead of those alone that it cannot serve.
func TestStrainedEntryLeavesJobsInTime(t *testing.T) {
	pattern := arrivalPattern{
		name: "calls of two zones", load: 1, span: 6 * time.Second, batch: 1, minOnTime: 0.67 * strainServeable / strainOffered,
	}
	for seed := range uint64(3) {
		o := newSimulation(t, seed)
		o.processorTime = strainProcessorTime
		offered := o.run(pattern)
		t.Logf("seed %d: offered %d, timely %d, late %d, refused %d", seed, offered, o.onTime, o.late, o.refused)
		o.check(pattern, offered)
		if !o.strained {
			t.Errorf("seed %d: the entry does not send callers elsewhere", seed)
		}
		if o.state.View().Strained {
			t.Errorf("seed %d: the entry still sends callers elsewhere 5 s after the load", seed)
		}
	}
}
