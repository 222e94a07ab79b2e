package coordinator

import (
	"fmt"
	"testing"
)

// Guards against label sets without waiting tasks that still cost time at every event,
// and against tasks of such a set that are never sent when it is used again.
func TestIdleLabelSetsAreNotVisited(t *testing.T) {
	labels := []string{"a", "b", "c", "d"}
	h := newHarness(t, 1, labels...)
	for round := range 3 {
		for i, label := range labels {
			h.finish(h.submit(CallID(100*round+i+1), fmt.Sprint(round, label), label))
		}
		if got := len(h.state.order); got != 0 {
			t.Errorf("round %d: %d label sets visited without waiting tasks", round, got)
		}
	}
}

// Guards against a search for a ticket that misses an unexpired block, or finds an
// expired or unknown one.
func TestTicketBlocks(t *testing.T) {
	h := newHarness(t, 1)
	for range 5 {
		h.handle(TicketsRequested{Call: 1, Firm: "lamis", Service: "dispatch", Count: 3})
	}
	b := h.state.issuedTicketsOf(serviceKey{firm: "lamis", service: "dispatch"})
	b.blocks = b.blocks[1:]
	for number := range uint64(20) {
		if got, want := b.valid(number, h.now), number >= b.blocks[0].from && number < b.next; got != want {
			t.Errorf("valid(%d) is %v; want %v", number, got, want)
		}
	}
	if b.valid(b.next-1, h.now.Add(h.state.Config.TicketLifetime)) {
		t.Error("expired ticket is valid")
	}
}
