package guard

import (
	"context"
	"time"
)

// writeGraceFactor lengthens the grace period of writes. The kernel buffers up to several
// megabytes of an answer and takes more only in large steps, so that a reader of 100 KB/s
// may show no progress for more than 5 s.
const writeGraceFactor = 12

// direction is what a connection waits for.
type direction int

const (
	none direction = iota
	fromClient
	toClient
)

// window is the interval over which the rate of a connection is averaged. Only the scan
// uses it.
type window struct {
	waits    direction
	request  int64
	start    time.Duration
	progress int64
}

// run closes connections that are slower than the minimum rate, until ctx ends.
func (l *Listener) run(ctx context.Context) error {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	last := l.guard.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := l.guard.now()
		l.scan(now, now-last > lateScan)
		last = now
	}
}

// scan checks all connections once. After a late scan the averages begin anew, because
// the process may not have read what the clients have sent.
func (l *Listener) scan(now time.Duration, late bool) {
	type slow struct {
		conn  *conn
		which limit
		rate  int64
	}
	var found []slow
	l.mu.Lock()
	for _, c := range l.conns {
		if late {
			c.window = window{}
		}
		which, rate, tooSlow := c.checkRate(now)
		if tooSlow && (which == limitWriteRate || c.claim(phaseBody)) {
			found = append(found, slow{c, which, rate})
		}
	}
	l.mu.Unlock()
	for _, s := range found {
		l.met(s.which, s.conn.peer.String(), s.rate)
		abort(s.conn.Conn)
	}
}

// checkRate reports whether the client has read or sent less than the minimum rate over
// the grace period in which the connection waited for it. Headers need no check here:
// net/http bounds the time of a header as a whole.
func (c *conn) checkRate(now time.Duration) (which limit, rate int64, tooSlow bool) {
	waits, progress := none, int64(0)
	switch {
	case c.writing.Load():
		waits, progress, which = toClient, c.sent.Load(), limitWriteRate
	case c.in(phaseBody) && c.reading.Load():
		waits, progress, which = fromClient, c.received.Load(), limitReadRate
	}
	request := c.requests.Load()
	w := &c.window
	if waits == none || w.waits != waits || w.request != request {
		*w = window{waits: waits, request: request, start: now, progress: progress}
		return 0, 0, false
	}
	s := &c.listener.guard.Settings
	took, grace := now-w.start, time.Duration(s.RateGrace)
	if waits == toClient {
		grace *= writeGraceFactor
	}
	if took < grace {
		return 0, 0, false
	}
	rate = (progress - w.progress) * int64(time.Second) / int64(took)
	*w = window{waits: waits, request: request, start: now, progress: progress}
	return which, rate, rate < int64(s.MinRate)
}
