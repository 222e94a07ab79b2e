package coordinator

import (
	"testing"
	"time"
)

// The simulated pattern: clients of another zone are redirected to the only entry of a
// zone, which has a fifth of a processor core (pattern "shift" of scale-2, a recorded day
// of the deployment lamis-ops-grown: 450 calls per second at an entry that can handle
// 220). The endpoints have room for all jobs.
const (
	// strainProcessorTime is spent on a call, its two starts and its two results, 15 ms
	// per job. The entry can thus handle 67 of the 100 jobs per second that arrive and
	// that the endpoints can run.
	strainProcessorTime = 3 * time.Millisecond
	strainOffered       = 100.0
	strainServeable     = 1 / (5 * 0.003)
)

// Guards against an entry that answers all of its callers late when its processor cannot
// handle them all, instead of refusing those that it cannot serve in time.
func TestStrainedEntryLeavesJobsInTime(t *testing.T) {
	pattern := arrivalPattern{
		name: "calls of two zones", load: 1, span: 6 * time.Second, batch: 1, minOnTime: 0.67 * strainServeable / strainOffered,
	}
	for seed := range uint64(3) {
		s := newSimulation(t, seed)
		s.processorTime = strainProcessorTime
		offered := s.run(pattern)
		t.Logf("seed %d: offered %d, on time %d, late %d, refused %d", seed, offered, s.onTime, s.late, s.refused)
		s.check(pattern, offered)
		if !s.strained {
			t.Errorf("seed %d: the entry did not report itself as strained", seed)
		}
		if s.state.View().Strained {
			t.Errorf("seed %d: the entry still reports itself as strained 5 s after the load", seed)
		}
	}
}
