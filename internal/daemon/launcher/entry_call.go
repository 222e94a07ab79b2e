package launcher

import (
	"context"
	"errors"
	"fmt"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
)

// ErrStopped means that the entry stopped before it answered.
var ErrStopped = errors.New("the entry has stopped")

// ErrNotTaken means that the call was never taken, so that it has no effect.
var ErrNotTaken = fmt.Errorf("the call was not taken: %w", ErrStopped)

// Call hands a caller's event to the control goroutine and waits for its answer.
func (c *entryControl) Call(ctx context.Context, event func(coordinator.CallID) coordinator.Event) (coordinator.Answer, error) {
	call, answer := c.calls.open()
	defer c.calls.close(call)
	if !c.loop.post(c.dated(event(call))) {
		return nil, ErrNotTaken
	}
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		c.loop.post(coordinator.CallerGone{Call: call})
		return nil, ctx.Err()
	case <-c.loop.stopped:
	}
	// The reply may have been given by the last step of the loop.
	select {
	case a := <-answer:
		return a, nil
	default:
		return nil, ErrStopped
	}
}

// dated notes when a submission was read, so that the decisions see how long it has
// waited in this process.
func (c *entryControl) dated(event coordinator.Event) coordinator.Event {
	if submitted, ok := event.(coordinator.Submitted); ok {
		submitted.ReceivedAt = c.clock.now()
		return submitted
	}
	return event
}
