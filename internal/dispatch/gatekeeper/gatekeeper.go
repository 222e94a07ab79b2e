// Package gatekeeper makes the decisions of an agent: the final admission check
// before a task starts, tombstones, fences, draining and the settings lease.
//
// State.Handle maps the state, an event and the current time to effects. It does
// no I/O and reads no clock.
package gatekeeper
