// Package emulator is an endpoint that runs tasks under a lease, without I/O and on
// the clock of its caller. Tests put it behind a network of their own.
package emulator

import (
	"cmp"
	"slices"
	"time"
)

// maxLease is the longest lease that an endpoint grants.
const maxLease = time.Second

// Run names one run of a task.
type Run struct {
	Task string
	// Number grows with each run of the task, from 1.
	Number int
}

// EndKind says how a run ended.
type EndKind string

// The kinds of end. Lost runs end with the boot and are not listed.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	EndLost    EndKind = "lost"
)

// End is a listed end of a run.
type End struct {
	Number int
	Run    Run
	Kind   EndKind
}

// Refusal says why an order had no effect; it is empty if it had one.
type Refusal string

// The refusals.
const (
	RefusedFence Refusal = "fence"
	RefusedOld   Refusal = "old"
	RefusedLate  Refusal = "late"
)

// Endpoint is one endpoint through its boots. Its exported fields are set before
// Boot. It is used by one goroutine at a time.
type Endpoint struct {
	// ClockStart is what the endpoint's clock shows at a boot, and ClockPercent its
	// speed in percent of the true one.
	ClockStart   time.Duration
	ClockPercent int
	// OnStart and OnEnd, if set, see each start and each end of a run.
	OnStart func(now time.Time, run Run)
	OnEnd   func(now time.Time, run Run, kind EndKind)
	// OnContact, if set, sees the token of each order that is not fenced.
	OnContact func(token uint64)

	bootAt  time.Time
	token   uint64
	until   time.Duration
	running map[Run]bool
	tombs   map[string]int
	ended   []End
	last    int
}

// Boot starts the endpoint, or starts it anew: it knows nothing of before.
func (e *Endpoint) Boot(now time.Time) {
	for _, run := range e.Running() {
		e.note(now, run, EndLost)
	}
	e.bootAt = now
	e.token, e.until, e.last = 0, 0, 0
	e.running, e.tombs, e.ended = map[Run]bool{}, map[string]int{}, nil
}

// Clock is what the endpoint's own clock shows.
func (e *Endpoint) Clock(now time.Time) time.Duration {
	return e.ClockStart + now.Sub(e.bootAt)*time.Duration(e.ClockPercent)/100
}

// Lapse ends everything if the lease is over.
func (e *Endpoint) Lapse(now time.Time) {
	if e.Clock(now) <= e.until {
		return
	}
	for _, run := range e.Running() {
		e.end(now, run, EndLapsed)
	}
}

// Start orders a run and extends the lease.
func (e *Endpoint) Start(now time.Time, run Run, token uint64, until time.Duration) Refusal {
	switch {
	case !e.admit(now, token):
		return RefusedFence
	case run.Number <= e.tombs[run.Task]:
		return RefusedOld
	case until < e.Clock(now):
		return RefusedLate
	}
	e.extend(now, until)
	if e.running[run] {
		return ""
	}
	if e.OnStart != nil {
		e.OnStart(now, run)
	}
	e.running[run] = true
	return ""
}

// Stop ends a run, and forbids it if it has not started.
func (e *Endpoint) Stop(now time.Time, run Run, token uint64) Refusal {
	if !e.admit(now, token) {
		return RefusedFence
	}
	if e.running[run] {
		e.end(now, run, EndStopped)
	}
	e.forbid(run)
	return ""
}

// Hold extends the lease, unless until is zero, and forgets the ends up to observed.
func (e *Endpoint) Hold(now time.Time, token uint64, until time.Duration, observed int) Refusal {
	if !e.admit(now, token) {
		return RefusedFence
	}
	if until > 0 {
		e.extend(now, until)
	}
	for len(e.ended) > 0 && e.ended[0].Number <= observed {
		e.ended = e.ended[1:]
	}
	return ""
}

// Finish ends a run by itself. A run that is not there any more is left alone.
func (e *Endpoint) Finish(now time.Time, run Run, kind EndKind) {
	e.Lapse(now)
	if e.running[run] {
		e.end(now, run, kind)
	}
}

// Running lists the runs in a fixed order.
func (e *Endpoint) Running() []Run {
	runs := make([]Run, 0, len(e.running))
	for run := range e.running {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
	})
	return runs
}

// Runs tells whether a run is there.
func (e *Endpoint) Runs(run Run) bool { return e.running[run] }

// Ended lists the ends that have not been observed.
func (e *Endpoint) Ended() []End { return e.ended }

// LastEnd is the number of the last end of this boot.
func (e *Endpoint) LastEnd() int { return e.last }

// admit checks the token of an order and keeps the highest one.
func (e *Endpoint) admit(now time.Time, token uint64) bool {
	e.Lapse(now)
	if token < e.token {
		return false
	}
	e.token = token
	if e.OnContact != nil {
		e.OnContact(token)
	}
	return true
}

func (e *Endpoint) extend(now time.Time, until time.Duration) {
	e.until = max(e.until, min(until, e.Clock(now)+maxLease))
}

func (e *Endpoint) end(now time.Time, run Run, kind EndKind) {
	delete(e.running, run)
	e.forbid(run)
	e.last++
	e.ended = append(e.ended, End{Number: e.last, Run: run, Kind: kind})
	e.note(now, run, kind)
}

// forbid refuses the run and all lower ones of its task from now on.
func (e *Endpoint) forbid(run Run) {
	e.tombs[run.Task] = max(e.tombs[run.Task], run.Number)
}

func (e *Endpoint) note(now time.Time, run Run, kind EndKind) {
	if e.OnEnd != nil {
		e.OnEnd(now, run, kind)
	}
}
