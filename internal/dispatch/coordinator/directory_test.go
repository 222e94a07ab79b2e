package coordinator

import (
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

func (h *harness) directories() map[messenger.Incarnation][]int {
	sizes := make(map[messenger.Incarnation][]int)
	for _, effect := range h.effects {
		send, ok := effect.(Send)
		if !ok {
			continue
		}
		if status, ok := send.Message.(messenger.Status); ok && status.Directory != nil {
			sizes[send.To] = append(sizes[send.To], len(status.Directory))
		}
	}
	h.effects = nil
	return sizes
}

// Guards against a directory that is sent to every agent with every renewal of the
// lease, and against a change of the directory or a new link after which it is not sent.
func TestDirectoryIsSentOnChange(t *testing.T) {
	h := newHarness(t, 4)
	first := h.directories()
	for _, a := range h.agents {
		if len(first[a]) != 1 || first[a][0] != 3 {
			t.Errorf("%s got directories of %v; want one of 3", a, first[a])
		}
	}
	h.advance(10 * time.Second)
	if sizes := h.directories(); len(sizes) > 0 {
		t.Errorf("directories sent without a change: %v", sizes)
	}
	h.entries = 4
	h.advance(3 * time.Second)
	sizes := h.directories()
	for _, a := range h.agents {
		if len(sizes[a]) != 1 || sizes[a][0] != 4 {
			t.Errorf("%s got directories of %v after a change; want one of 4", a, sizes[a])
		}
	}
	h.handle(AgentLinked{Hello: h.state.agents["a000"].hello})
	h.advance(time.Second)
	if sizes := h.directories(); len(sizes) != 1 || len(sizes["a000~1"]) != 1 {
		t.Errorf("directories %v after a new link of a000; want one", sizes)
	}
}
