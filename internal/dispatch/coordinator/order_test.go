package coordinator

import (
	"fmt"
	"testing"
)

// Guards against label sets that were used once and cost time at every event from
// then on, and against tasks of such a set that are never sent again.
func TestIdleLabelSetsAreNotVisited(t *testing.T) {
	labels := []string{"a", "b", "c", "d"}
	g := newHarness(t, 1, labels...)
	for round := range 3 {
		for i, label := range labels {
			g.finish(g.submit(CallID(100*round+i+1), fmt.Sprint(round, label), label))
		}
		if got := len(g.state.order); got != 0 {
			t.Errorf("round %d: %d label sets visited without waiting tasks", round, got)
		}
	}
}

// Guards against a search for a ticket that misses a block in force, or finds an
// expired or unknown one.
func TestTicketBlocks(t *testing.T) {
	g := newHarness(t, 1)
	for range 5 {
		g.handle(TicketsRequested{Call: 1, Firm: "lamis", Service: "dispatch", Count: 3})
	}
	b := g.state.issuedTicketsOf(serviceKey{firm: "lamis", service: "dispatch"})
	b.blocks = b.blocks[1:]
	for number := range uint64(20) {
		if got, want := b.valid(number, g.now), number >= b.blocks[0].from && number < b.next; got != want {
			t.Errorf("ticket %d valid is %v; want %v", number, got, want)
		}
	}
	if b.valid(b.next-1, g.now.Add(g.state.Config.TicketLifetime)) {
		t.Error("expired ticket is valid")
	}
}
