package launcher

import (
	"context"
	"time"
)

// eventBuffer is the number of events that may be queued for the control goroutine before
// post blocks.
const eventBuffer = 4096

// loop is the event loop of the control goroutine, the only goroutine that accesses the
// decision state.
type loop[E, F any] struct {
	events chan E
	// stopped is closed when the loop has ended. Events posted later are discarded.
	stopped chan struct{}
	tick    E
	every   time.Duration
	handle  func(now time.Time, event E) []F
	// carryOut executes one effect and reports whether the loop must end.
	carryOut func(effect F) bool
	// drain is the event that is handled when the context ends.
	drain E
	// after is called on the control goroutine after each tick and at the end of the
	// loop, to publish snapshots.
	after func(now time.Time)
	// now returns the time that is passed to handle.
	now func() time.Time
	// drainPatience is the time after which the loop ends even if the drain is not complete.
	drainPatience time.Duration
}

func newLoop[E, F any]() *loop[E, F] {
	return &loop[E, F]{events: make(chan E, eventBuffer), stopped: make(chan struct{})}
}

// post queues an event for the control goroutine, and blocks while the buffer is full. It
// reports whether the event was queued, which is false once the loop has ended.
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
