package supervisor

import (
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Guards against a lease that exceeds LeaseBound because the endpoint's clock is slower,
// and against ordering a run while LeaseBound does not allow the lease to be renewed.
func TestLeaseRespectsBound(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	bound := time.Duration(0)
	s := &State{
		Token: 1, Boot: Boot{ID: "i1", Address: "endpoint"},
		LeaseBound: func(longest time.Duration) time.Duration { return min(longest, bound) },
	}
	s.Handle(now, Tick{})
	const clock = time.Hour
	s.Handle(now, HoldAnswered{Call: 1, Lists: Lists{Born: 1, Clock: clock}})
	for _, test := range []struct {
		bound, lease time.Duration
	}{
		{2 * time.Second, DefaultLease},
		{time.Second, (time.Second - lapseMargin) * 100 / (100 + clockDriftPercent)},
		{lapseMargin, 0},
		{-time.Second, 0},
	} {
		bound = test.bound
		run := Run{Job: test.bound.String(), Number: 1}
		var got time.Duration
		notRun := false
		for _, effect := range s.Handle(now, Invoke{Run: run}) {
			switch e := effect.(type) {
			case CallStart:
				got = e.Start.Until - clock
			case Ended:
				notRun = e.Outcome.State == messenger.TaskNotRun
			default:
			}
		}
		if got != test.lease || notRun != (test.lease == 0) {
			t.Errorf("bound %v: lease %v, want %v; not run: %v", test.bound, got, test.lease, notRun)
		}
	}
}
