package guard

import (
	"sync"
	"time"
)

const (
	// minHolderAge is the time without progress below which a holder is not shed: it may
	// just have had no turn.
	minHolderAge = 100 * time.Millisecond
	// shedWait bounds the wait until a holder that was shed has released its bytes.
	shedWait = 100 * time.Millisecond
	// shedAttempts bounds the holders that are shed for one reservation.
	shedAttempts = 4
	// fruitlessPause is the time for which no search is made after one without a result.
	fruitlessPause = 20 * time.Millisecond
)

// holders is the set of connections with an unfinished body, or with an unfinished header
// that is larger than usual.
type holders struct {
	mu sync.Mutex
	// conns maps each holder to a channel that is closed when it has released its bytes;
	// the channel is nil until the holder is shed.
	conns       map[*conn]chan struct{}
	fruitlessAt time.Duration
}

func (h *holders) add(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conns == nil {
		h.conns = make(map[*conn]chan struct{})
	}
	h.conns[c] = nil
}

func (h *holders) remove(c *conn) {
	h.mu.Lock()
	released := h.conns[c]
	delete(h.conns, c)
	h.mu.Unlock()
	if released != nil {
		close(released)
	}
}

// shedSlowest makes the holder with the longest time without progress give up.
// It returns a channel that is closed when that has happened, or nil if there is none.
func (h *holders) shedSlowest(now time.Duration, except *conn) (*conn, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fruitlessAt != 0 && now-h.fruitlessAt < fruitlessPause {
		return nil, nil
	}
	var slowest *conn
	longest := minHolderAge
	for c, released := range h.conns {
		age := now - time.Duration(c.since.Load())
		if released == nil && c != except && age >= longest {
			slowest, longest = c, age
		}
	}
	if slowest == nil {
		h.fruitlessAt = now
		return nil, nil
	}
	released := make(chan struct{})
	h.conns[slowest] = released
	slowest.giveUp()
	return slowest, released
}

// reserve takes bytes from the budget. If they are not left, slow holders are shed
// first.
func (c *conn) reserve(n int64) bool {
	g := c.listener.guard
	for range shedAttempts {
		if g.budget.take(n, c.class()) {
			return true
		}
		slowest, released := g.holders.shedSlowest(g.now(), c)
		if slowest == nil {
			return false
		}
		slowest.listener.met(limitShed, slowest.peer.String(), slowest.requestCharge.Load())
		timer := time.NewTimer(shedWait)
		select {
		case <-released:
		case <-timer.C:
		}
		timer.Stop()
	}
	return g.budget.take(n, c.class())
}
