package linker

import (
	"cmp"
	"time"
)

const (
	backoffFloor   = 50 * time.Millisecond
	backoffCeiling = 2 * time.Second
)

// backoff yields the waits between dial attempts. Each wait is drawn between the
// floor and a bound that doubles up to the ceiling, so that the agents of an
// entry that restarted do not all return at the same moment.
type backoff struct {
	bound  time.Duration
	random func() float64
	// ceiling bounds the waits; zero means backoffCeiling.
	ceiling time.Duration
}

func (b *backoff) next() time.Duration {
	b.bound = min(max(2*b.bound, 2*backoffFloor), cmp.Or(b.ceiling, backoffCeiling))
	spread := float64(b.bound - backoffFloor)
	return backoffFloor + time.Duration(b.random()*spread)
}

func (b *backoff) reset() {
	b.bound = 0
}
