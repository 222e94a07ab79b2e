package coordinator

import (
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Guards against team limits that grow with the number of entries, which happens if each
// entry applies the whole limit to its own tasks.
func TestQuotaIsSharedAmongEntries(t *testing.T) {
	h := newHarness(t, 1)
	tree := *h.state.tree
	firm := tree.Firms["lamis"]
	firm.Teams = map[string]resolver.Team{"desk": {Weight: 1, MaxRunningTasks: 7, MaxWaitingTasks: 30}}
	tree = resolver.Tree{Firms: map[string]resolver.Firm{"lamis": firm}}
	h.handle(SettingsRead{SentAt: h.now, Version: 2, Tree: &tree})
	for _, c := range []struct{ entries, running, waiting int }{{3, 3, 10}, {1, 7, 30}, {10, 1, 3}} {
		h.entries = c.entries
		h.advance(3 * time.Second)
		for range c.running {
			if !h.state.teams.MayStart("lamis", "desk") {
				t.Errorf("%d entries: fewer than %d tasks may run", c.entries, c.running)
			}
			h.state.teams.Started("lamis", "desk")
		}
		if h.state.teams.MayStart("lamis", "desk") {
			t.Errorf("%d entries: more than %d tasks may run", c.entries, c.running)
		}
		if !h.state.teams.MayWait("lamis", "desk", c.waiting) || h.state.teams.MayWait("lamis", "desk", c.waiting+1) {
			t.Errorf("%d entries: not %d tasks may wait", c.entries, c.waiting)
		}
		for range c.running {
			h.state.teams.Ended("lamis", "desk")
		}
	}
}
