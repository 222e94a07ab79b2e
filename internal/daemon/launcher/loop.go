package launcher

import (
	"context"
	"time"
)

// eventBuffer is how many events may wait for the control goroutine before
// their senders wait as well.
const eventBuffer = 4096

// loop is the control goroutine: it alone touches the decision state.
type loop[E, F any] struct {
	events chan E
	// stopped is closed when the loop has ended; posting then does nothing.
	stopped chan struct{}
	tick    E
	every   time.Duration
	handle  func(now time.Time, event E) []F
	// carryOut executes one effect; it returns true if the loop is to end.
	carryOut func(effect F) bool
	// drain is posted when the context ends.
	drain E
	// after runs on the control goroutine after each tick, to publish snapshots.
	after func(now time.Time)
	// now gives the time that is passed to handle.
	now func() time.Time
	// drainPatience ends a drain that does not complete.
	drainPatience time.Duration
}

func newLoop[E, F any]() *loop[E, F] {
	return &loop[E, F]{events: make(chan E, eventBuffer), stopped: make(chan struct{})}
}

// post hands an event to the control goroutine. It waits while the buffer is
// full, and returns false once the loop has ended.
func (l *loop[E, F]) post(event E) bool {
	select {
	case l.events <- event:
		return true
	case <-l.stopped:
		return false
	}
}

func (l *loop[E, F]) run(ctx context.Context) error {
	defer close(l.stopped)
	ticker := time.NewTicker(l.every)
	defer ticker.Stop()
	done := ctx.Done()
	var giveUp <-chan time.Time
	for {
		var end bool
		select {
		case event := <-l.events:
			end = l.step(event)
		case <-ticker.C:
			end = l.step(l.tick)
			l.after(l.now())
		case <-done:
			done = nil
			giveUp = time.After(l.drainPatience)
			end = l.step(l.drain)
		case <-giveUp:
			return context.DeadlineExceeded
		}
		if end {
			l.after(l.now())
			return nil
		}
	}
}

func (l *loop[E, F]) step(event E) bool {
	end := false
	for _, effect := range l.handle(l.now(), event) {
		if l.carryOut(effect) {
			end = true
		}
	}
	return end
}
