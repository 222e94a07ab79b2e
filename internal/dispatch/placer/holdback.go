package placer

import (
	"math/rand/v2"
	"time"
)

// worthWaiting reports whether the task is expected to finish earlier if it waits for
// the slot of a faster endpoint than in the best free slot.
func (x *Index) worthWaiting(now time.Time, r *rand.Rand, c *class, s *selection) bool {
	typical := s.best.pool.overall.mean
	size := s.best.pool.expected(s.query.Declared).mean
	var rate, weighted float64
	c.sampleMembers(r, func(m *member, scale float64) {
		if m.free || !m.eligible || m.outstanding == 0 || m.factor >= s.best.factor {
			return
		}
		v := scale * m.returnRate(now, typical)
		rate += v
		weighted += v * m.factor
	})
	if rate == 0 {
		return false
	}
	wait := float64(s.query.WaitPosition) / rate
	gain := size * (s.best.factor - weighted/rate)
	return wait*x.Policy.Margin < gain
}

// sampleMembers visits all members of a small class, or a random sample of a large one.
// The scale is the number of members that the visited one represents.
func (c *class) sampleMembers(r *rand.Rand, visit func(m *member, scale float64)) {
	if len(c.members) <= compareAll {
		for _, m := range c.members {
			visit(m, 1)
		}
		return
	}
	scale := float64(len(c.members)) / sampleSize
	for range sampleSize {
		visit(c.members[r.IntN(len(c.members))], scale)
	}
}

// returnRate returns the expected number of this entry's tasks per second that finish
// at the endpoint. If no task was sent or has returned for longer than the expected
// interval, the endpoint is assumed to run long tasks, and that time is the interval.
func (m *member) returnRate(now time.Time, typical float64) float64 {
	interval := typical * m.factor / float64(m.outstanding)
	sinceActivity := now.Sub(m.lastActivity).Seconds()
	return 1 / max(interval, sinceActivity)
}
