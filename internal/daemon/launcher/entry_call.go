package launcher

import (
	"context"
	"errors"
	"fmt"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
)

// ErrStopped means that the entry stopped before it answered the call.
var ErrStopped = errors.New("the entry has stopped")

// ErrNotAccepted means that the entry stopped before it accepted the call, so that the call
// has no effect.
var ErrNotAccepted = fmt.Errorf("the call was not taken: %w", ErrStopped)

// Call posts a caller's event to the control goroutine and waits for the answer.
func (c *entryControl) Call(ctx context.Context, event func(coordinator.CallID) coordinator.Event) (coordinator.Answer, error) {
	call, answer := c.calls.open()
	defer c.calls.close(call)
	if !c.loop.post(c.withReceivedAt(event(call))) {
		return nil, ErrNotAccepted
	}
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		c.loop.post(coordinator.CallerGone{Call: call})
		return nil, ctx.Err()
	case <-c.loop.stopped:
	}
	// The last event that the loop handled may have produced the reply.
	select {
	case a := <-answer:
		return a, nil
	default:
		return nil, ErrStopped
	}
}

// withReceivedAt sets ReceivedAt on a submission, so that the decision code can see how
// long the submission has waited in this process.
func (c *entryControl) withReceivedAt(event coordinator.Event) coordinator.Event {
	if submitted, ok := event.(coordinator.Submitted); ok {
		submitted.ReceivedAt = c.clock.now()
		return submitted
	}
	return event
}
