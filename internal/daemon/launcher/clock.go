package launcher

import "time"

// clock returns wall times that never go backwards and have no monotonic reading, so
// that the replay of a recorded trace uses exactly the times of the run.
type clock struct {
	start     time.Time
	wall      time.Time
	suspended time.Duration
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, wall: now.Round(0), suspended: suspended()}
}

// now includes the time for which the host was suspended. Otherwise a lease that has
// expired for other processes would still appear valid in this process.
func (c clock) now() time.Time {
	return c.wall.Add(time.Since(c.start) + suspended() - c.suspended)
}

// fromSystem converts a time returned by time.Now.
func (c clock) fromSystem(t time.Time) time.Time {
	return c.wall.Add(t.Sub(c.start))
}
