package supervisor

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

const (
	// DefaultLease is the longest lease that endpoints grant.
	DefaultLease = time.Second
	// holdWait is how long a hold waits for an end. Three holds in a row may be lost
	// before the lease expires.
	holdWait = 250 * time.Millisecond
	// answerTimeout is the time without an answer after which the endpoint counts as
	// not ready.
	answerTimeout = 600 * time.Millisecond
	// clockDriftPercent is how much slower an endpoint's clock may run, in percent.
	clockDriftPercent = 2
	// lapseMargin covers the time that the endpoint needs to stop its runs after the
	// lease has expired, and the delay between the reading of its clock and the arrival
	// of the answer.
	lapseMargin = 60 * time.Millisecond
	// maxMissedHolds is the number of holds in a row without an answer after which the
	// endpoint is given no new tasks. A crashed endpoint refuses connections at once.
	maxMissedHolds = 2
	// stopRetryInterval is the time after which a stop without an answer is sent again.
	stopRetryInterval = 50 * time.Millisecond
	// holdRetryDelay is the delay before the next hold after one that was refused or got
	// no answer.
	holdRetryDelay = 30 * time.Millisecond
	// normalPollInterval is the interval at which an endpoint with runs is polled,
	// although a hold waits there, because the answer of that hold may be lost.
	normalPollInterval = 100 * time.Millisecond
	// lossyPollInterval is the polling interval for an endpoint that has recently left a
	// call unanswered. It is well below the shortest run times.
	lossyPollInterval = 10 * time.Millisecond
	// lossyPeriod is how long the shorter polling interval applies after an unanswered call.
	lossyPeriod = 5 * time.Second
	// startGracePeriod is the time after which a run is stopped if its start has not been
	// answered and the run is not listed. Answers take a few ms on the same host.
	startGracePeriod = 20 * time.Millisecond
	// maxHoldsInFlight limits the holds in flight, so that connections remain for starts.
	maxHoldsInFlight = 8
	// tokenStep is added to the token when the endpoint has seen a higher one.
	tokenStep = 60_000
)

// State tracks the lease and the runs of one endpoint. Its exported fields must be set
// before the first call of Handle. The time passed to Handle must not advance while this
// host is suspended, since the endpoint's clock may not advance either.
type State struct {
	// Token is the first token. It must exceed those of earlier incarnations of the agent.
	Token uint64
	// Lease is the longest lease; zero means DefaultLease.
	Lease time.Duration
	// LeaseBound, if set, returns the maximum duration of a lease that is renewed now, at
	// most longest. The lease is not renewed if nothing remains after lapseMargin.
	LeaseBound func(longest time.Duration) time.Duration
	// Boot identifies the endpoint's boot as far as it is known before the endpoint
	// announces itself.
	Boot Boot

	now       time.Time
	effects   []Effect
	startedAt time.Time

	// clock is the reading of the endpoint's clock that arrived at clockReadAt.
	clock       time.Duration
	clockReadAt time.Time
	// answeredAt is when the endpoint last answered a hold.
	answeredAt time.Time
	// missed counts the holds in a row without an answer.
	missed int
	// lapsesAt is when all runs at the endpoint are certain to have ended if no further
	// call renews the lease.
	lapsesAt time.Time
	// reconciled is true while no unknown run is at the endpoint and the endpoint answers.
	reconciled bool
	// everReconciled is true once reconciled was true in this incarnation of the process.
	everReconciled bool
	observed       int
	runs           map[Run]*run
	// orphans are listed runs that this process has not ordered or has already ended,
	// with the time at which the last stop was sent.
	orphans map[Run]time.Time

	calls uint64
	holds map[uint64]time.Time
	// probes are the holds in flight that confirm an announced boot.
	probes map[uint64]probe
	// waitingHold is the number of the hold that waits for the next end, or zero.
	waitingHold uint64
	nextHold    time.Time
	// lastHoldAt is when the last hold was sent.
	lastHoldAt time.Time
	// lastUnansweredAt is when it last became known that a call got no answer.
	lastUnansweredAt time.Time
	// wakeAt is the time for which the last Tick was requested.
	wakeAt time.Time
}

// phase is the state of a run as this process knows it.
type phase uint8

const (
	// ordered means that the start was sent and its answer is pending.
	ordered phase = iota
	// unanswered means that the start got no answer, so the run may or may not exist.
	unanswered
	running
	// stopping means that a stop was sent.
	stopping
)

type run struct {
	Run
	task  messenger.TaskKey
	phase phase
	// startConfirmed is true once the endpoint has confirmed that the run has started.
	startConfirmed bool
	orderedAt      time.Time
	// listed is true once the run was listed as running. A list identifies the boot that
	// runs it; the answer to a start does not.
	listed       bool
	startedAt    time.Time
	unansweredAt time.Time
	stopSentAt   time.Time
	// stopPending is true while the answer to a stop is pending.
	stopPending bool
	// stopAckedAt is when a stop was acknowledged.
	stopAckedAt time.Time
}

// Handle applies an event and returns the effects in the order in which they must be
// carried out.
func (s *State) Handle(now time.Time, event Event) []Effect {
	s.prepare(now)
	s.now = now
	s.effects = nil
	switch e := event.(type) {
	case Tick:
		s.tick()
	case Announced:
		s.announced(e.Boot)
	case Invoke:
		s.invoke(e)
	case Abort:
		if r := s.runs[e.Run]; r != nil {
			s.stop(r)
		}
	case StartAnswered:
		s.startAnswered(e)
	case StopAnswered:
		s.stopAnswered(e)
	case HoldAnswered:
		s.holdAnswered(e)
	}
	s.maintainHolds()
	return s.effects
}

func (s *State) prepare(now time.Time) {
	if s.runs != nil {
		return
	}
	if s.Lease == 0 {
		s.Lease = DefaultLease
	}
	s.runs = make(map[Run]*run)
	s.orphans = make(map[Run]time.Time)
	s.holds = make(map[uint64]time.Time)
	s.probes = make(map[uint64]probe)
	s.startedAt = now
	// The runs that an earlier incarnation of this process ordered end within one lease.
	s.now = now
	s.lapsesAt = now.Add(s.untilLapsed())
}

// untilLapsed returns the time after a renewal by which all runs are certain to have
// ended.
func (s *State) untilLapsed() time.Duration {
	return s.Lease + s.Lease*clockDriftPercent/100 + lapseMargin
}

func (s *State) emit(effect Effect) {
	s.effects = append(s.effects, effect)
}

// IsReady reports whether the endpoint answers and no unknown run is there.
func (s *State) IsReady() bool {
	return s.reconciled && s.now.Sub(s.answeredAt) < answerTimeout
}

// PreviousRunsEnded reports whether all runs that an earlier incarnation of this process
// ordered have ended.
func (s *State) PreviousRunsEnded() bool {
	return s.reconciled || s.now.Sub(s.startedAt) > s.untilLapsed()
}

func (s *State) tick() {
	if !s.lapsesAt.IsZero() && s.now.After(s.lapsesAt) {
		s.lapsed()
	}
	for _, r := range s.sortedRuns() {
		if r.phase == stopping && !r.stopPending && r.stopAckedAt.IsZero() && s.now.Sub(r.stopSentAt) >= stopRetryInterval {
			s.sendStop(r)
		}
	}
	for run, at := range s.orphans {
		if s.now.Sub(at) > s.untilLapsed() {
			delete(s.orphans, run)
		}
	}
}

// lapsed ends all runs, because the lease has expired even by the slowest permitted
// clock.
func (s *State) lapsed() {
	s.lapsesAt = time.Time{}
	if len(s.runs) > 0 || s.reconciled {
		s.emit(LogMessage{Message: "endpoint lease has expired; reporting all of its runs as ended", Age: s.now.Sub(s.answeredAt)})
	}
	s.endAll("the lease of the endpoint has lapsed")
	s.Token++
	if s.reconciled {
		s.reconciled = false
		s.emit(Unready{Reason: "the endpoint does not answer"})
	}
}

// endAll reports every run as interrupted. It must only be called when all runs are
// certain to have ended.
func (s *State) endAll(reason string) {
	for _, r := range s.sortedRuns() {
		s.end(r, messenger.TaskOutcome{State: messenger.TaskInterrupted, Reason: reason})
	}
}

func (s *State) sortedRuns() []*run {
	runs := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareRuns(a.Run, b.Run) })
	return runs
}

func compareRuns(a, b Run) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Position.Step, b.Position.Step),
		cmp.Compare(a.Position.Index, b.Position.Index),
		cmp.Compare(a.Number, b.Number),
	)
}

func (s *State) end(r *run, outcome messenger.TaskOutcome) {
	delete(s.runs, r.Run)
	var runTime time.Duration
	if !r.startedAt.IsZero() {
		runTime = s.now.Sub(r.startedAt)
	}
	s.emit(Ended{Task: r.task, Run: r.Run, Outcome: outcome, RunTime: runTime})
}

// rebooted ends the runs that were listed in the previous boot. Other runs may have
// reached the new boot, so they are stopped there first. The token is raised so that
// the new boot refuses delayed orders for the previous one.
func (s *State) rebooted(born int64) {
	s.emit(LogMessage{Message: "endpoint has restarted; ending or stopping its runs", Reason: s.Boot.ID})
	for _, r := range s.sortedRuns() {
		if r.listed {
			s.end(r, messenger.TaskOutcome{State: messenger.TaskInterrupted, Reason: "the endpoint has restarted"})
			continue
		}
		r.phase = unanswered
		r.unansweredAt = s.now
		r.startedAt = s.now
		r.stopPending = false
		r.stopAckedAt = time.Time{}
	}
	s.Token++
	s.Boot.Born = born
	s.observed = 0
	s.reconciled = false
	s.clock, s.clockReadAt = 0, time.Time{}
	clear(s.orphans)
	clear(s.holds)
	s.waitingHold = 0
	s.nextHold = s.now
	s.emit(Unready{Reason: "the endpoint has restarted"})
}
