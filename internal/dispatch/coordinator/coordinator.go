// Package coordinator makes the decisions of an entry: admission, placement,
// retry, drain, takeover and the view of the agents.
//
// State.Handle is a function of the state, an event, the time and a seeded
// random source to effects. It does no input or output, reads no clock and
// starts no goroutine, so a trace of events replays to the same decisions.
package coordinator
