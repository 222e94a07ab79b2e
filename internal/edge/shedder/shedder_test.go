package shedder

import (
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

func view(strained bool) *coordinator.Snapshot {
	return &coordinator.Snapshot{
		LifeCycle: lifeCycleActive, Strained: strained, Tree: &resolver.Tree{},
		Endpoints: []coordinator.EndpointView{{Name: "a1"}},
	}
}

// Guards against a load balancer that sends callers to an entry that cannot serve them.
func TestHandleProbe(t *testing.T) {
	starting, draining, alone, unset := view(false), view(false), view(false), view(false)
	starting.LifeCycle = lifeCycleStarting
	draining.LifeCycle = "draining"
	alone.Endpoints = nil
	unset.Tree = nil
	for name, scenario := range map[string]struct {
		view  *coordinator.Snapshot
		ready bool
	}{
		"active":       {view(false), true},
		"strained":     {view(true), false},
		"starting":     {starting, true},
		"draining":     {draining, false},
		"no settings":  {unset, false},
		"no endpoints": {alone, false},
		"no view":      {nil, false},
	} {
		if got := new(Shedder).HandleProbe(scenario.view); got != scenario.ready {
			t.Errorf("%s: ready %v, want %v", name, got, scenario.ready)
		}
	}
}

// Guards against a strained entry that closes all connections at once, or that closes them
// while the load balancer still sends callers back to it.
func TestStrainedEntryClosesConnectionsOneByOne(t *testing.T) {
	s := &Shedder{}
	now := time.Unix(1_000_000, 0)
	closed := func() int {
		count := 0
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			if s.ShouldClose(view(true), now) {
				count++
			}
		}
		return count
	}
	if got := closed(); got != 0 {
		t.Errorf("%d connections were closed before the balancer removed the entry from rotation, want 0", got)
	}
	s.HandleProbe(view(true))
	s.HandleProbe(view(true))
	if got := closed(); got != 10 {
		t.Errorf("%d connections were closed in a second, want 10", got)
	}
	if s.ShouldClose(view(false), now.Add(time.Second)) {
		t.Error("an entry that is not strained closed a connection")
	}
	s.HandleProbe(view(false))
	if got := closed(); got != 0 {
		t.Errorf("%d connections were closed after the entry returned to the rotation, want 0", got)
	}
}

// Guards against a stopping entry that keeps connections open, so that callers use them
// until the process ends.
func TestStoppingEntryClosesEveryConnection(t *testing.T) {
	stopping := view(false)
	stopping.LifeCycle = "draining"
	s := &Shedder{}
	now := time.Unix(1_000_000, 0)
	for range 2 {
		if !s.ShouldClose(stopping, now) {
			t.Error("a stopping entry left a connection open")
		}
	}
}
