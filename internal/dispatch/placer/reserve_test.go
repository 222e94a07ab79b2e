package placer

import (
	"math/rand/v2"
	"testing"
)

// Guards against using slots for which more urgent tasks of other entries wait, and
// against leaving slots unused that no such task needs.
func TestChooseReservesSlotsForOthers(t *testing.T) {
	for _, scenario := range []struct {
		name  string
		ahead int
		want  string
	}{
		{"no task ahead", 0, "e0"},
		{"one of two slots reserved", 1, "e0"},
		{"the best endpoint reserved", 2, "e1"},
		{"all but one slot reserved", 5, "e2"},
		{"all slots reserved", 6, ""},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			x, now := fleet(3)
			for i, name := range []string{"e0", "e1", "e2"} {
				x.members[name].Slots = 2
				x.members[name].factor = float64(1 + i)
				x.refresh(x.members[name])
			}
			q := Query{Firm: "f", Service: "s", TasksAhead: scenario.ahead}
			choice, ok := x.Choose(now, rand.New(rand.NewPCG(1, 1)), q)
			if choice.Endpoint != scenario.want || ok != (scenario.want != "") {
				t.Errorf("got %q, %t, want %q", choice.Endpoint, ok, scenario.want)
			}
		})
	}
}
