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

// Guards against callers that are sent to an entry that cannot serve them.
func TestProbed(t *testing.T) {
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
		if got := new(Shedder).Probed(scenario.view); got != scenario.ready {
			t.Errorf("%s: ready %v, want %v", name, got, scenario.ready)
		}
	}
}

// Guards against callers that are all sent away at once, or back to the same entry.
func TestStrainedEntryClosesConnectionsOneByOne(t *testing.T) {
	s := &Shedder{}
	now := time.Unix(1_000_000, 0)
	closed := func() int {
		count := 0
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			if s.Closes(view(true), now) {
				count++
			}
		}
		return count
	}
	if got := closed(); got != 0 {
		t.Errorf("%d connections were closed while the balancer sends callers back", got)
	}
	s.Probed(view(true))
	s.Probed(view(true))
	if got := closed(); got != 10 {
		t.Errorf("%d connections were closed in a second, want 10", got)
	}
	if s.Closes(view(false), now.Add(time.Second)) {
		t.Error("an entry that has time to spare closes a connection")
	}
	s.Probed(view(false))
	if got := closed(); got != 0 {
		t.Errorf("%d connections were closed after the entry was in rotation again", got)
	}
}

// Guards against a stop that leaves callers on connections that end with it.
func TestStoppingEntryClosesEveryConnection(t *testing.T) {
	stopping := view(false)
	stopping.LifeCycle = "draining"
	s := &Shedder{}
	now := time.Unix(1_000_000, 0)
	for range 2 {
		if !s.Closes(stopping, now) {
			t.Error("a connection stays open")
		}
	}
}
