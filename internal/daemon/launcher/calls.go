package launcher

import (
	"sync"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
)

// callTable assigns replies to the calls that wait for them.
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
