package launcher

import (
	"context"
	"errors"
	"sync"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
)

// ErrStopped means that the entry stopped before it answered.
var ErrStopped = errors.New("the entry has stopped")

// callTable matches replies to the calls that wait for them.
type callTable struct {
	mu      sync.Mutex
	last    coordinator.CallID
	waiting map[coordinator.CallID]chan coordinator.Answer
}

func (t *callTable) open() (coordinator.CallID, chan coordinator.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting == nil {
		t.waiting = make(map[coordinator.CallID]chan coordinator.Answer)
	}
	t.last++
	answer := make(chan coordinator.Answer, 1)
	t.waiting[t.last] = answer
	return t.last, answer
}

func (t *callTable) close(call coordinator.CallID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, call)
}

func (t *callTable) answer(reply coordinator.Reply) {
	t.mu.Lock()
	answer := t.waiting[reply.Call]
	delete(t.waiting, reply.Call)
	t.mu.Unlock()
	if answer != nil {
		answer <- reply.Answer
	}
}

// Call hands a caller's event to the control goroutine and waits for its answer.
func (c *entryControl) Call(ctx context.Context, event func(coordinator.CallID) coordinator.Event) (coordinator.Answer, error) {
	call, answer := c.calls.open()
	defer c.calls.close(call)
	if !c.loop.post(event(call)) {
		return nil, ErrStopped
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
