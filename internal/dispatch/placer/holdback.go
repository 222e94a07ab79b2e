package placer

import (
	"math/rand/v2"
	"time"
)

// worthWaiting reports whether the next slot of a faster endpoint is expected to
// finish the task earlier than the best free slot.
func (x *Index) worthWaiting(now time.Time, r *rand.Rand, c *class, s *selection) bool {
	typical := s.best.pool.overall.plain
	size := s.best.pool.expected(s.query.Declared).plain
	var rate, weighted float64
	c.busySample(r, func(m *member, scale float64) {
		if m.free || !m.open || m.outstanding == 0 || m.factor >= s.best.factor {
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

// busySample visits all members of a small class, else a random sample, each
// with the number of members that it stands for.
func (c *class) busySample(r *rand.Rand, visit func(m *member, scale float64)) {
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

// returnRate is the expected number of own tasks per second that come back. An
// endpoint that has been quiet for longer than expected is assumed to be held up
// by long tasks.
func (m *member) returnRate(now time.Time, typical float64) float64 {
	interval := typical * m.factor / float64(m.outstanding)
	quiet := now.Sub(m.changed).Seconds()
	return 1 / max(interval, quiet)
}
