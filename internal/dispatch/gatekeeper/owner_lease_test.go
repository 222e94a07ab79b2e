package gatekeeper

import (
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Guards against a lease of the endpoint that outlasts the pause after which the
// caller of a lost entry hands its job to another one, when this agent stalls before
// it can end the runs.
func TestLeaseBound(t *testing.T) {
	const (
		horizon = 1250 * time.Millisecond
		longest = 1080 * time.Millisecond
	)
	now := time.Unix(1_000_000, 0)
	heard := func(ago time.Duration) time.Time { return now.Add(-ago) }
	for _, test := range []struct {
		name    string
		horizon time.Duration
		echoed  map[messenger.Incarnation]time.Time
		// runsFor owns a run, and waitsFor a queued task.
		runsFor, waitsFor messenger.Incarnation
		want              time.Duration
	}{
		{name: "no owner is known", horizon: horizon, want: longest},
		{name: "no horizon", echoed: map[messenger.Incarnation]time.Time{"e1": heard(700 * time.Millisecond)}, want: longest},
		{
			name: "owner heard now", horizon: horizon, want: longest,
			echoed: map[messenger.Incarnation]time.Time{"e1": now},
		},
		{
			name: "one of two owners is silent", horizon: horizon, want: horizon - 700*time.Millisecond,
			echoed: map[messenger.Incarnation]time.Time{"e1": now, "e2": heard(700 * time.Millisecond)},
		},
		{
			name: "lapsed owner without a run", horizon: horizon, want: longest,
			echoed: map[messenger.Incarnation]time.Time{"e1": now, "e2": heard(900 * time.Millisecond)},
		},
		{
			name: "lapsed owner whose run is not ended", horizon: horizon, want: horizon - 1300*time.Millisecond, runsFor: "e2",
			echoed: map[messenger.Incarnation]time.Time{"e1": now, "e2": heard(1300 * time.Millisecond)},
		},
		{
			name: "lapsed owner whose task is queued", horizon: horizon, want: horizon - 900*time.Millisecond, waitsFor: "e2",
			echoed: map[messenger.Incarnation]time.Time{"e1": now, "e2": heard(900 * time.Millisecond)},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &State{OwnerHorizon: test.horizon, echoed: test.echoed, live: map[runKey]*record{}}
			s.settings.OwnerLease = 800 * time.Millisecond
			if test.runsFor != "" {
				s.live[runKey{run: 1}] = &record{owner: test.runsFor}
			}
			if test.waitsFor != "" {
				s.queue = []*record{{owner: test.waitsFor}}
			}
			if got := s.LeaseBound(now, longest); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a start for an owner whose time is over before the lease that the
// endpoint already has.
func TestStartWithinTheLeaseOfOthersIsRefused(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := &State{OwnerHorizon: time.Second, echoed: map[messenger.Incarnation]time.Time{
		"e1": now, "e2": now.Add(-300 * time.Millisecond),
	}}
	s.promised = now.Add(900 * time.Millisecond)
	if s.outlasts("e1") {
		t.Error("the lease outlasts an owner that was just heard")
	}
	if !s.outlasts("e2") {
		t.Error("the lease does not outlast an owner that is due 200 ms before its end")
	}
}
