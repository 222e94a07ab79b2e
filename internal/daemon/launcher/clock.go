package launcher

import "time"

// clock gives wall times that never step back and carry no monotonic reading,
// so that a recorded trace replays with exactly the times of the run.
type clock struct {
	start time.Time
	wall  time.Time
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, wall: now.Round(0)}
}

func (c clock) now() time.Time {
	return c.wall.Add(time.Since(c.start))
}

// at converts a time of the system clock.
func (c clock) at(t time.Time) time.Time {
	return c.wall.Add(t.Sub(c.start))
}
