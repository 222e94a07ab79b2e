package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// lateSlackShare is the share of the time left until the answer is useless that the
	// expected wait of a late job may use. The rest covers run times that are longer than
	// declared, and room that becomes scarcer after the admission.
	lateSlackShare = 0.5
	// reserveWindow is the time constant with which the size of the largest recent job is
	// forgotten.
	reserveWindow = 2 * time.Second
	// minClosedTime is the least time for which the room is expected to stay closed to
	// late tasks once other tasks wait. A closed period is expected to last as long again
	// as it has lasted.
	minClosedTime = 200 * time.Millisecond
	// maxLateJobs bounds the cost of a decision. The bound by work is lower, except for
	// jobs of very small tasks.
	maxLateJobs = 256
	// minLateWork is the least work by which the value of a job is divided, in
	// milli-core seconds. Tasks may be declared without a run time.
	minLateWork = 1
)

// lateJob is a job that was admitted although it is expected to miss its objective.
type lateJob struct {
	job     *job
	arrival uint64
	// value is the value of the late answer relative to one on time.
	value float64
	// criticalPath is the declared run time of the longest chain of steps, and latestEnd
	// the time after which the answer is useless.
	criticalPath time.Duration
	latestEnd    time.Time
	// remaining is the declared work of the tasks that have not been sent, in milli-core
	// seconds.
	remaining float64
	// waiting lists the tasks that may be sent now, in the order in which they are sent.
	waiting []*task
	// started is true once a task has or may have started.
	started bool
}

// tooLate reports whether the job would end after the answer has become useless even if
// all of its tasks were sent now.
func (l *lateJob) tooLate(now time.Time) bool {
	return now.Add(l.criticalPath).After(l.latestEnd)
}

// density is the value of the job per work that is still to be sent. It rises with each
// task that is sent, so that few jobs are in progress at the same time.
func (l *lateJob) density(now time.Time) float64 {
	if l.tooLate(now) {
		return 0
	}
	return l.value / max(l.remaining, minLateWork)
}

// fits reports whether the job can wait for the given time.
func (l *lateJob) fits(now time.Time, wait time.Duration) bool {
	left := l.latestEnd.Sub(now) - l.criticalPath
	return wait <= time.Duration(lateSlackShare*float64(left))
}

// lateBacklog holds the late jobs of one service that have unsent tasks. It decides
// their order and which further job fits.
type lateBacklog struct {
	key  serviceKey
	jobs []*lateJob
	// waits is true while a task may be sent, and waitingSince the start of the current
	// period in which it is true.
	waits        bool
	waitingSince time.Time
	// placedWork is the work of the late tasks that were sent recently, in milli-core
	// seconds, as of placedAt. It decays exponentially with the time constant rateWindow.
	placedWork float64
	placedAt   time.Time
	// openAt is when late tasks were last allowed to use free room.
	openAt time.Time
	// spare is the average room, in milli-cores, that this entry's late tasks could have
	// used in addition to what they did use.
	spare   float64
	spareAt time.Time
	// largest is the size of the largest recent job that is not late, in milli-cores, as
	// of largestAt. It decays exponentially with the time constant reserveWindow.
	largest   float64
	largestAt time.Time
}

// decay returns what is left of a value after some time.
func decay(value float64, since, constant time.Duration) float64 {
	return value * math.Exp(-since.Seconds()/constant.Seconds())
}

// admittedOnTime records the size of a job that is not late, in milli-cores.
func (b *lateBacklog) admittedOnTime(now time.Time, size int) {
	b.largest = max(b.reserve(now), float64(size))
	b.largestAt = now
}

// reserve returns the room, in milli-cores, that late tasks leave free for the next job
// that can be on time. Runs are not interrupted for such a job.
func (b *lateBacklog) reserve(now time.Time) float64 {
	return decay(b.largest, now.Sub(b.largestAt), reserveWindow)
}

// observe records, at regular times, whether late tasks may use free room, and this
// entry's share of the room that they leave unused, in milli-cores.
func (b *lateBacklog) observe(now time.Time, open bool, unused float64) {
	if open {
		b.openAt = now
	}
	since := now.Sub(b.spareAt)
	if b.spareAt.IsZero() {
		since = math.MaxInt64
	}
	left := decay(1, since, rateWindow)
	b.spare = left*b.spare + (1-left)*unused
	b.spareAt = now
}

// closedTime returns how much longer other tasks are expected to keep late tasks from
// being sent.
func (b *lateBacklog) closedTime(now time.Time) time.Duration {
	return max(minClosedTime, now.Sub(b.openAt))
}

// keep adds the job, or removes it if it has no unsent tasks left.
func (b *lateBacklog) keep(now time.Time, l *lateJob) {
	at := slices.Index(b.jobs, l)
	switch unsent := l.remaining > 0 || len(l.waiting) > 0; {
	case unsent && at < 0:
		b.jobs = append(b.jobs, l)
	case !unsent && at >= 0:
		b.jobs = slices.Delete(b.jobs, at, at+1)
	}
	waits := slices.ContainsFunc(b.jobs, func(l *lateJob) bool { return len(l.waiting) > 0 })
	if waits && !b.waits {
		b.waitingSince = now
	}
	b.waits = waits
}

// placed records the work of a late task that was sent.
func (b *lateBacklog) placed(now time.Time, work float64) {
	b.placedWork = b.decayedWork(now) + work
	b.placedAt = now
}

func (b *lateBacklog) decayedWork(now time.Time) float64 {
	return decay(b.placedWork, now.Sub(b.placedAt), rateWindow)
}

// rate returns the rate at which late work is expected to be sent, in milli-cores: that
// of the recent late work, and what could have been sent in addition, up to the rate of
// the endpoints. It is 0 if no late task was sent for rateWindow although some waited, or
// if none was allowed to be sent in that time: the jobs admitted then would be refused
// after a useless wait.
func (b *lateBacklog) rate(now time.Time, endpoints float64) float64 {
	if b.waits && now.Sub(latest(b.placedAt, b.waitingSince)) >= rateWindow {
		return 0
	}
	if now.Sub(latest(b.placedAt, b.openAt)) >= rateWindow {
		return 0
	}
	return min(endpoints, b.decayedWork(now)/rateWindow.Seconds()+b.spare)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// admits reports whether a further job fits: it and all jobs that it would go before must
// be expected to end in time. The wait is the time until the last task of the job is
// sent: delay, and the time for the late work before it at the given rate. Jobs of which
// a task has started are not refused any more, so they only count as work.
func (b *lateBacklog) admits(now time.Time, l *lateJob, delay time.Duration, rate float64) (time.Duration, bool) {
	if rate <= 0 || len(b.jobs) >= maxLateJobs {
		return delay, false
	}
	waitFor := func(work float64) time.Duration {
		return delay + time.Duration(work/rate*float64(time.Second))
	}
	var wait time.Duration
	var without, ahead float64
	for _, other := range inLateOrder(now, append(slices.Clone(b.jobs), l)) {
		ahead += other.remaining
		if other == l {
			if wait = waitFor(ahead); !l.fits(now, wait) {
				return wait, false
			}
			continue
		}
		without += other.remaining
		if other.started || without == ahead {
			continue
		}
		if other.fits(now, waitFor(without)) && !other.fits(now, waitFor(ahead)) {
			return wait, false
		}
	}
	return wait, true
}

// next returns the jobs with tasks that may be sent now, in their order. It omits jobs
// that are about to be refused.
func (b *lateBacklog) next(now time.Time) []*lateJob {
	var ready []*lateJob
	for _, l := range b.jobs {
		if len(l.waiting) > 0 && (l.started || !l.tooLate(now)) {
			ready = append(ready, l)
		}
	}
	return inLateOrder(now, ready)
}

// inLateOrder sorts jobs by descending value per work, then by arrival.
func inLateOrder(now time.Time, jobs []*lateJob) []*lateJob {
	slices.SortFunc(jobs, func(a, b *lateJob) int {
		if c := cmp.Compare(b.density(now), a.density(now)); c != 0 {
			return c
		}
		return cmp.Compare(a.arrival, b.arrival)
	})
	return jobs
}
