// Package emulator emulates an endpoint that runs tasks under a lease. The emulator
// does no I/O and takes the time from its caller; tests add a simulated network.
package emulator

import (
	"cmp"
	"slices"
	"time"
)

// maxLease is the maximum duration of a lease from the time of the request.
const maxLease = time.Second

// Run identifies one run of a task.
type Run struct {
	Task string
	// Number counts the runs of the task, from 1.
	Number int
}

// EndKind is the way in which a run ended.
type EndKind string

// The kinds of end. A run is lost when the endpoint reboots; lost runs are reported to
// OnEnd only and are not listed by UnobservedEnds.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	EndLost    EndKind = "lost"
)

// End is the end of a run as listed by UnobservedEnds.
type End struct {
	Number int
	Run    Run
	Kind   EndKind
}

// Refusal is the reason why a request had no effect; it is empty if it took effect.
type Refusal string

// The reasons for refusals: the token is lower than an earlier one, the run is stopped,
// ended or older than such a run, or the end of the requested lease has passed.
const (
	RefusedFence Refusal = "fence"
	RefusedOld   Refusal = "old"
	RefusedLate  Refusal = "late"
)

// Endpoint is an endpoint that may boot several times. Its exported fields must be set
// before Boot. An Endpoint is not safe for concurrent use.
type Endpoint struct {
	// ClockStart is the reading of the endpoint's clock at each boot, and ClockPercent
	// is the clock's speed in percent of real time.
	ClockStart   time.Duration
	ClockPercent int
	// OnStart and OnEnd, if set, are called at each start and at each end of a run.
	OnStart func(now time.Time, run Run)
	OnEnd   func(now time.Time, run Run, kind EndKind)
	// OnRequest, if set, is called with the token of each request that is not fenced.
	OnRequest func(token uint64)

	bootedAt      time.Time
	token         uint64
	leaseEnd      time.Duration
	running       map[Run]bool
	forbiddenUpTo map[string]int
	unobserved    []End
	lastEnd       int
}

// Boot starts or restarts the endpoint. All runs and all state of earlier boots are
// lost.
func (e *Endpoint) Boot(now time.Time) {
	for _, run := range e.Running() {
		e.reportEnd(now, run, EndLost)
	}
	e.bootedAt = now
	e.token, e.leaseEnd, e.lastEnd = 0, 0, 0
	e.running, e.forbiddenUpTo, e.unobserved = map[Run]bool{}, map[string]int{}, nil
}

// Clock returns the reading of the endpoint's own clock.
func (e *Endpoint) Clock(now time.Time) time.Duration {
	return e.ClockStart + now.Sub(e.bootedAt)*time.Duration(e.ClockPercent)/100
}

// ExpireLease ends all runs if the lease has expired.
func (e *Endpoint) ExpireLease(now time.Time) {
	if e.Clock(now) <= e.leaseEnd {
		return
	}
	for _, run := range e.Running() {
		e.end(now, run, EndLapsed)
	}
}

// Start starts a run, unless it is running already, and extends the lease.
func (e *Endpoint) Start(now time.Time, run Run, token uint64, until time.Duration) Refusal {
	switch {
	case !e.acceptToken(now, token):
		return RefusedFence
	case run.Number <= e.forbiddenUpTo[run.Task]:
		return RefusedOld
	case until < e.Clock(now):
		return RefusedLate
	}
	e.extendLease(now, until)
	if e.running[run] {
		return ""
	}
	if e.OnStart != nil {
		e.OnStart(now, run)
	}
	e.running[run] = true
	return ""
}

// Stop ends a run, or prevents its start if it has not started yet.
func (e *Endpoint) Stop(now time.Time, run Run, token uint64) Refusal {
	if !e.acceptToken(now, token) {
		return RefusedFence
	}
	if e.running[run] {
		e.end(now, run, EndStopped)
	}
	e.forbid(run)
	return ""
}

// Hold extends the lease, unless until is zero, and removes the ends with numbers up to
// observed from the list.
func (e *Endpoint) Hold(now time.Time, token uint64, until time.Duration, observed int) Refusal {
	if !e.acceptToken(now, token) {
		return RefusedFence
	}
	if until > 0 {
		e.extendLease(now, until)
	}
	for len(e.unobserved) > 0 && e.unobserved[0].Number <= observed {
		e.unobserved = e.unobserved[1:]
	}
	return ""
}

// Finish ends a run that has completed or failed by itself. It has no effect on a run
// that has ended already.
func (e *Endpoint) Finish(now time.Time, run Run, kind EndKind) {
	e.ExpireLease(now)
	if e.running[run] {
		e.end(now, run, kind)
	}
}

// Running returns the current runs, sorted by task and number.
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

// IsRunning reports whether a run has started and not yet ended.
func (e *Endpoint) IsRunning(run Run) bool { return e.running[run] }

// UnobservedEnds returns the ends that no Hold has acknowledged as observed.
func (e *Endpoint) UnobservedEnds() []End { return e.unobserved }

// LastEnd returns the number of the last end of this boot, or 0 if there is none.
func (e *Endpoint) LastEnd() int { return e.lastEnd }

// acceptToken reports whether a request's token is at least as high as the highest one
// received in this boot, and stores it if so. Before that, it ends all runs if the lease
// has expired.
func (e *Endpoint) acceptToken(now time.Time, token uint64) bool {
	e.ExpireLease(now)
	if token < e.token {
		return false
	}
	e.token = token
	if e.OnRequest != nil {
		e.OnRequest(token)
	}
	return true
}

func (e *Endpoint) extendLease(now time.Time, until time.Duration) {
	e.leaseEnd = max(e.leaseEnd, min(until, e.Clock(now)+maxLease))
}

func (e *Endpoint) end(now time.Time, run Run, kind EndKind) {
	delete(e.running, run)
	e.forbid(run)
	e.lastEnd++
	e.unobserved = append(e.unobserved, End{Number: e.lastEnd, Run: run, Kind: kind})
	e.reportEnd(now, run, kind)
}

// forbid prevents later starts of the run and of all runs of its task with lower
// numbers.
func (e *Endpoint) forbid(run Run) {
	e.forbiddenUpTo[run.Task] = max(e.forbiddenUpTo[run.Task], run.Number)
}

func (e *Endpoint) reportEnd(now time.Time, run Run, kind EndKind) {
	if e.OnEnd != nil {
		e.OnEnd(now, run, kind)
	}
}
