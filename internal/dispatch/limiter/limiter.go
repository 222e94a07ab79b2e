// Package limiter orders the tasks that wait at an entry, and bounds what teams
// and retries may use.
//
// The types do no I/O, read no clock and take no locks. They are used by one
// goroutine, and the same calls give the same order.
package limiter
