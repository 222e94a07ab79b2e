// Package gatekeeper makes the decisions of an agent: the last gate before a
// start, tombstones, fences, drain and the settings lease.
//
// State.Handle is a function of the state, an event and the time to effects. It
// does no input or output and reads no clock.
package gatekeeper
