package gatekeeper

import (
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Guards against an endpoint lease that is still valid when the caller of a lost entry
// hands its job to another entry. The job would run twice if this agent stalls before
// it has ended the runs of the lost entry.
func TestLeaseBound(t *testing.T) {
	const (
		expiry  = 1250 * time.Millisecond
		longest = 1080 * time.Millisecond
	)
	now := time.Unix(1_000_000, 0)
	lastContact := func(ago time.Duration) time.Time { return now.Add(-ago) }
	for _, test := range []struct {
		name   string
		expiry time.Duration
		echoed map[messenger.Incarnation]time.Time
		// runOwner, if set, owns a run, and queuedOwner a queued task.
		runOwner, queuedOwner messenger.Incarnation
		want                  time.Duration
	}{
		{name: "no owner", expiry: expiry, want: longest},
		{name: "no owner expiry", echoed: map[messenger.Incarnation]time.Time{"e1": lastContact(700 * time.Millisecond)}, want: longest},
		{
			name: "contact with the owner just now", expiry: expiry, want: longest,
			echoed: map[messenger.Incarnation]time.Time{"e1": now},
		},
		{
			name: "no recent contact with one of two owners", expiry: expiry, want: expiry - 700*time.Millisecond,
			echoed: map[messenger.Incarnation]time.Time{"e1": now, "e2": lastContact(700 * time.Millisecond)},
		},
		{
			name: "owner lease expired, no run", expiry: expiry, want: longest,
			echoed: map[messenger.Incarnation]time.Time{"e1": now, "e2": lastContact(900 * time.Millisecond)},
		},
		{
			name: "owner lease expired, run not ended", expiry: expiry, want: expiry - 1300*time.Millisecond, runOwner: "e2",
			echoed: map[messenger.Incarnation]time.Time{"e1": now, "e2": lastContact(1300 * time.Millisecond)},
		},
		{
			name: "owner lease expired, task queued", expiry: expiry, want: expiry - 900*time.Millisecond, queuedOwner: "e2",
			echoed: map[messenger.Incarnation]time.Time{"e1": now, "e2": lastContact(900 * time.Millisecond)},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &State{OwnerExpiry: test.expiry, newestEcho: test.echoed, live: map[runKey]*record{}}
			s.settings.OwnerLease = 800 * time.Millisecond
			if test.runOwner != "" {
				s.live[runKey{run: 1}] = &record{owner: test.runOwner}
			}
			if test.queuedOwner != "" {
				s.queue = []*record{{owner: test.queuedOwner}}
			}
			if got := s.LeaseBound(now, longest); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a start for an owner whose tasks must have ended before the endpoint's
// current lease does. Such a task could run longer than its owner allows.
func TestLeaseOutlastsOwner(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := &State{OwnerExpiry: time.Second, newestEcho: map[messenger.Incarnation]time.Time{
		"e1": now, "e2": now.Add(-300 * time.Millisecond),
	}}
	s.latestLeaseEnd = now.Add(900 * time.Millisecond)
	if s.leaseOutlasts("e1") {
		t.Error("leaseOutlasts is true for an owner with contact just now")
	}
	if !s.leaseOutlasts("e2") {
		t.Error("leaseOutlasts is false for an owner whose tasks must end 200 ms before the lease")
	}
}
