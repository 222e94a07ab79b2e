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
	stopped      chan struct{}
	tick         E
	tickInterval time.Duration
	handle       func(now time.Time, event E) []F
	// execute executes one effect and reports whether the loop must end.
	execute func(effect F) bool
	// drain is the event that is handled when the context ends.
	drain E
	// afterTick is called on the control goroutine after each tick and at the end of the
	// loop, to publish snapshots.
	afterTick func(now time.Time)
	// now returns the time that is passed to handle.
	now func() time.Time
	// drainTimeout is the time after which the loop ends even if the drain is not complete.
	drainTimeout time.Duration
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
	ticker := time.NewTicker(l.tickInterval)
	defer ticker.Stop()
	done := ctx.Done()
	var drainExpired <-chan time.Time
	for {
		var end bool
		select {
		case event := <-l.events:
			end = l.process(event)
		case <-ticker.C:
			end = l.process(l.tick)
			l.afterTick(l.now())
		case <-done:
			done = nil
			drainExpired = time.After(l.drainTimeout)
			end = l.process(l.drain)
		case <-drainExpired:
			return context.DeadlineExceeded
		}
		if end {
			l.afterTick(l.now())
			return nil
		}
	}
}

func (l *loop[E, F]) process(event E) bool {
	end := false
	for _, effect := range l.handle(l.now(), event) {
		if l.execute(effect) {
			end = true
		}
	}
	return end
}
