// Package shedder decides what a balancer and the callers of an entry are told while
// the entry would rather see them elsewhere.
package shedder

import (
	"sync/atomic"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
)

const (
	// missedProbes is how many refused probes take a host out of the balancer's
	// rotation.
	missedProbes = 2
	// shedInterval is the least time between two connections that a strained entry
	// closes. The callers then come to other entries a few at a time.
	shedInterval = 100 * time.Millisecond
)

// The states of an entry in which callers may come: one that starts serves what needs
// no row of its own.
const (
	lifeCycleStarting = "starting"
	lifeCycleActive   = "active"
)

// Shedder keeps what the balancer was told. Its zero value is ready for use.
type Shedder struct {
	// refusedProbes counts the probes in a row that were told not to send callers.
	refusedProbes atomic.Int64
	// closedAt is when a connection was last closed to shed load, in Unix nanoseconds.
	closedAt atomic.Int64
}

// Probed answers a probe of the balancer: whether callers are better served here
// than elsewhere.
func (s *Shedder) Probed(view *coordinator.Snapshot) bool {
	if view != nil && !stops(view) && !view.Strained && view.Tree != nil && len(view.Endpoints) > 0 {
		s.refusedProbes.Store(0)
		return true
	}
	s.refusedProbes.Add(1)
	return false
}

// Closes tells whether a caller's connection is closed after the present answer, so
// that the caller's next one goes to another entry. A strained entry waits with that
// until the balancer sends new connections elsewhere.
func (s *Shedder) Closes(view *coordinator.Snapshot, now time.Time) bool {
	switch {
	case view == nil:
		return false
	case stops(view):
		return true
	case !view.Strained || s.refusedProbes.Load() < missedProbes:
		return false
	}
	last := s.closedAt.Load()
	return now.UnixNano()-last >= int64(shedInterval) && s.closedAt.CompareAndSwap(last, now.UnixNano())
}

func stops(view *coordinator.Snapshot) bool {
	return view.LifeCycle != lifeCycleStarting && view.LifeCycle != lifeCycleActive
}
