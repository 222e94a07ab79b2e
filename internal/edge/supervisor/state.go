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
	// holdWait is how long a hold waits for an end. Three in a row may be lost
	// before the lease lapses.
	holdWait = 250 * time.Millisecond
	// answerPatience is the time without an answer after which the endpoint counts as
	// not followed.
	answerPatience = 600 * time.Millisecond
	// clockDrift bounds how much slower an endpoint's clock may be, in percent.
	clockDrift = 2
	// lapseMargin covers the stop of the runs after the lease, and the difference
	// between the reading of a clock and its arrival.
	lapseMargin = 60 * time.Millisecond
	// missedHolds is how many holds in a row may stay without an answer before the
	// endpoint takes nothing new. A crashed one refuses connections at once.
	missedHolds = 2
	// repeatAfter is the wait before a stop without an answer is sent again.
	repeatAfter = 50 * time.Millisecond
	// holdPause is the wait before the next hold after one without an answer.
	holdPause = 30 * time.Millisecond
	// lookAfter is the time without a question after which an endpoint with runs is
	// looked at, although a hold waits there: its answer may be lost.
	lookAfter = 100 * time.Millisecond
	// lossyLookAfter is the same for an endpoint that has left a call unanswered
	// lately. It is well below the shortest run times.
	lossyLookAfter = 10 * time.Millisecond
	// lossyFor is how long an endpoint counts as lossy after an unanswered call.
	lossyFor = 5 * time.Second
	// startPatience is the time after which a start without an answer is doubted if
	// the lists do not hold its run. Answers take a few ms on the same host.
	startPatience = 20 * time.Millisecond
	// maxHolds bounds the holds on their way, so that connections remain for starts.
	maxHolds = 8
	// tokenStep raises the token when the endpoint has seen a higher one.
	tokenStep = 60_000
)

// State follows one endpoint. Its exported fields are set before the first
// Handle. The time passed to Handle must not count times in which this host was
// suspended, since the endpoint's clock may not count them either.
type State struct {
	// Token is the first token. It exceeds those of earlier lives of the agent.
	Token uint64
	// Lease is the longest lease; zero means DefaultLease.
	Lease time.Duration
	// Bound, if set, tells how long a lease that is renewed now may last at most, given
	// how long it could. Nothing is renewed when it is not positive.
	Bound func(longest time.Duration) time.Duration
	// Boot is what is known of the endpoint before it announces itself.
	Boot Boot

	now       time.Time
	effects   []Effect
	startedAt time.Time

	// clock is the endpoint's clock as read at clockAt.
	clock   time.Duration
	clockAt time.Time
	// answeredAt is when the endpoint last answered a hold.
	answeredAt time.Time
	// missed counts the holds in a row without an answer.
	missed int
	// lapsesAt is when everything at the endpoint has surely ended, if no further
	// call renews the lease.
	lapsesAt time.Time
	// clean is true once nothing unknown runs at the endpoint.
	clean bool
	// followed is true once the endpoint has been clean in this life of the process.
	followed bool
	observed int
	runs     map[Run]*run
	// strays are runs that this process has not ordered, or has given up.
	strays map[Run]time.Time

	calls uint64
	holds map[uint64]time.Time
	// waiting is the hold that waits for the next end, or zero.
	waiting  uint64
	nextHold time.Time
	// askedAt is when the last hold was sent.
	askedAt time.Time
	// lostAt is when a call last stayed without an answer.
	lostAt time.Time
	// wakeAt is when a Tick was asked for; zero if none is on its way.
	wakeAt time.Time
}

// phase is where a run is on its way.
type phase uint8

const (
	// ordered: the start has been sent and not been answered.
	ordered phase = iota
	// doubted: the start got no answer.
	doubted
	running
	// stopping: a stop has been sent.
	stopping
)

type run struct {
	Run
	task  messenger.TaskKey
	phase phase
	// seen is true once the endpoint has said that the run has started.
	seen      bool
	orderedAt time.Time
	// listed is true once it stood in a list, which names its boot; the answer to a
	// start does not.
	listed    bool
	startedAt time.Time
	doubtedAt time.Time
	stopAt    time.Time
	// stopSent is true while a stop has not been answered.
	stopSent bool
	// stoppedAt is when a stop was acknowledged.
	stoppedAt time.Time
}

// Handle applies one event and returns the effects in order.
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
	s.keepHolding()
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
	s.strays = make(map[Run]time.Time)
	s.holds = make(map[uint64]time.Time)
	s.startedAt = now
	// What an earlier life of this process ordered lapses within one lease.
	s.now = now
	s.lapsesAt = now.Add(s.untilLapsed())
}

// untilLapsed is how long after a renewal everything has surely ended.
func (s *State) untilLapsed() time.Duration {
	return s.Lease + s.Lease*clockDrift/100 + lapseMargin
}

func (s *State) emit(effect Effect) {
	s.effects = append(s.effects, effect)
}

// Following tells whether the endpoint answers and nothing unknown runs there.
func (s *State) Following() bool {
	return s.clean && s.now.Sub(s.answeredAt) < answerPatience
}

// FormerLifeOver tells whether nothing runs any more that an earlier life of this
// process has ordered.
func (s *State) FormerLifeOver() bool {
	return s.clean || s.now.Sub(s.startedAt) > s.untilLapsed()
}

func (s *State) tick() {
	if !s.lapsesAt.IsZero() && s.now.After(s.lapsesAt) {
		s.lapsed()
	}
	for _, r := range s.sortedRuns() {
		if r.phase == stopping && !r.stopSent && r.stoppedAt.IsZero() && s.now.Sub(r.stopAt) >= repeatAfter {
			s.sendStop(r)
		}
	}
	for run, at := range s.strays {
		if s.now.Sub(at) > s.untilLapsed() {
			delete(s.strays, run)
		}
	}
}

// lapsed ends what was ordered: the lease is over by any clock.
func (s *State) lapsed() {
	s.lapsesAt = time.Time{}
	if len(s.runs) > 0 || s.clean {
		s.emit(Noted{Message: "endpoint lease has lapsed", Age: s.now.Sub(s.answeredAt)})
	}
	s.endAll("the lease of the endpoint has lapsed")
	s.Token++
	if s.clean {
		s.clean = false
		s.emit(Unready{Reason: "the endpoint does not answer"})
	}
}

// endAll reports every run as interrupted. The caller has proof.
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

// announced notes which boot the endpoint is in now.
func (s *State) announced(boot Boot) {
	if boot.Born < s.Boot.Born {
		s.emit(Noted{Message: "announcement of a former boot ignored", Reason: boot.ID})
		return
	}
	if s.Boot.Born != 0 && boot.Born > s.Boot.Born {
		s.rebooted(boot.Born)
	}
	s.Boot = boot
}

// rebooted ends what ran in the former boot. A start that was not answered may
// have reached the present one, so it is stopped there first. The token rises, so
// that the present boot refuses what the former one was ordered and comes late.
func (s *State) rebooted(born int64) {
	s.emit(Noted{Message: "endpoint has restarted", Reason: s.Boot.ID})
	for _, r := range s.sortedRuns() {
		if r.listed {
			s.end(r, messenger.TaskOutcome{State: messenger.TaskInterrupted, Reason: "the endpoint has restarted"})
			continue
		}
		r.phase = doubted
		r.doubtedAt = s.now
		r.startedAt = s.now
		r.stopSent = false
		r.stoppedAt = time.Time{}
	}
	s.Token++
	s.Boot.Born = born
	s.observed = 0
	s.clean = false
	s.clock, s.clockAt = 0, time.Time{}
	clear(s.strays)
	clear(s.holds)
	s.waiting = 0
	s.nextHold = s.now
	s.emit(Unready{Reason: "the endpoint has restarted"})
}
