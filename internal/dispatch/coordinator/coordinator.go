// Package coordinator makes the decisions of an entry: admission, placement, retry,
// drain, takeover and the tracking of agents.
//
// State.Handle computes effects from the state, an event, the time and a seeded random
// source. It does no input or output, reads no clock and starts no goroutine, so that
// replaying a trace of events gives the same decisions.
package coordinator
