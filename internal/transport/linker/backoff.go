package linker

import (
	"cmp"
	"time"
)

const (
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// backoff computes the delays between dial attempts. Each delay is random, between
// minRedialDelay and a bound that doubles with each attempt up to maxDelay, so that
// the agents of an entry that restarted do not all redial at the same moment.
type backoff struct {
	bound  time.Duration
	random func() float64
	// maxDelay limits the bound. Zero means maxRedialDelay.
	maxDelay time.Duration
}

func (b *backoff) next() time.Duration {
	b.bound = min(max(2*b.bound, 2*minRedialDelay), cmp.Or(b.maxDelay, maxRedialDelay))
	spread := float64(b.bound - minRedialDelay)
	return minRedialDelay + time.Duration(b.random()*spread)
}

func (b *backoff) reset() {
	b.bound = 0
}
