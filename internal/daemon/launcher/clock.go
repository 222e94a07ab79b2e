package launcher

import "time"

// clock gives wall times that never step back and carry no monotonic reading,
// so that a recorded trace replays with exactly the times of the run.
type clock struct {
	start     time.Time
	wall      time.Time
	suspended time.Duration
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, wall: now.Round(0), suspended: suspended()}
}

// now counts times in which the host was suspended: a lease that others have seen
// lapse must not look fresh here.
func (c clock) now() time.Time {
	return c.wall.Add(time.Since(c.start) + suspended() - c.suspended)
}

// at converts a time of the system clock.
func (c clock) at(t time.Time) time.Time {
	return c.wall.Add(t.Sub(c.start))
}
