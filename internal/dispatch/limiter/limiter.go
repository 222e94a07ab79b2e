// Package limiter orders the tasks that wait at an entry, and limits the tasks of each
// team and the retries.
//
// The types do no I/O, read no clock and take no locks. They must be used by one
// goroutine only, and the same calls give the same order.
package limiter
