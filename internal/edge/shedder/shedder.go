// Package shedder moves callers from a strained or stopping entry to other entries: it
// decides how the entry answers the load balancer's readiness probes and which of the
// callers' connections it closes.
package shedder

import (
	"sync/atomic"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
)

const (
	// probesUntilRemoval is the number of consecutive refused probes after which the load
	// balancer removes an entry's host from its rotation.
	probesUntilRemoval = 2
	// shedInterval is the minimum time between two connections that a strained entry
	// closes. It spreads the callers' moves to other entries over time.
	shedInterval = 100 * time.Millisecond
)

// The life-cycle states in which an entry accepts submissions. An entry that is starting
// already accepts volatile jobs, because they do not need the entry's row in the table.
const (
	lifeCycleStarting = "starting"
	lifeCycleActive   = "active"
)

// Shedder counts the load balancer's refused probes and spaces out the closed connections.
// Its zero value is ready for use.
type Shedder struct {
	// refusedProbes is the number of consecutive probes that were answered with not ready.
	refusedProbes atomic.Int64
	// lastClosedAt is the time of the last connection closed to shed load, in Unix nanoseconds.
	lastClosedAt atomic.Int64
}

// HandleProbe records a readiness probe of the load balancer and reports whether the
// balancer should send callers to this entry.
func (s *Shedder) HandleProbe(view *coordinator.Snapshot) bool {
	if view != nil && !isStopping(view) && !view.Strained && view.Tree != nil && len(view.Endpoints) > 0 {
		s.refusedProbes.Store(0)
		return true
	}
	s.refusedProbes.Add(1)
	return false
}

// ShouldClose reports whether a caller's connection should be closed after the current
// answer, so that the caller reconnects to another entry. A strained entry closes
// connections only after the load balancer has removed it from the rotation: before that,
// the balancer could send the callers back to it.
func (s *Shedder) ShouldClose(view *coordinator.Snapshot, now time.Time) bool {
	switch {
	case view == nil:
		return false
	case isStopping(view):
		return true
	case !view.Strained || s.refusedProbes.Load() < probesUntilRemoval:
		return false
	}
	last := s.lastClosedAt.Load()
	return now.UnixNano()-last >= int64(shedInterval) && s.lastClosedAt.CompareAndSwap(last, now.UnixNano())
}

func isStopping(view *coordinator.Snapshot) bool {
	return view.LifeCycle != lifeCycleStarting && view.LifeCycle != lifeCycleActive
}
