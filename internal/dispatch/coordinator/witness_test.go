package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

func (g *harness) witnesses() (domains []string) {
	for _, effect := range g.effects {
		send, ok := effect.(Send)
		if _, asked := send.Message.(messenger.Witness); ok && asked {
			domains = append(domains, g.state.agentByIncarnation[send.To].hello.FailureDomain)
		}
	}
	g.effects = nil
	return domains
}

// Guards against witnesses in one failure domain while there are others, and
// against too few where there is only one.
func TestWitnessesAreInTwoFailureDomains(t *testing.T) {
	for name, c := range map[string]struct {
		agents int
		alike  bool
		want   int
	}{
		"two domains":  {agents: 10, want: 2},
		"one domain":   {agents: 10, alike: true, want: 2},
		"single agent": {agents: 1, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, c.agents)
			// Another entry that might reach the store would forbid witnesses.
			g.entries = 1
			g.advance(2 * time.Second)
			for _, a := range g.state.sortedAgents {
				if c.alike {
					a.hello.FailureDomain = "sousse"
				}
			}
			for i := range 12 {
				start := g.submit(CallID(i+1), fmt.Sprint(i))
				g.effects = nil
				g.finish(start)
				g.handle(OutcomeSettled{Key: start.Message.(messenger.Start).Task.Submission, Failed: true})
				domains := g.witnesses()
				if len(domains) != c.want || len(domains) == 2 && !c.alike && domains[0] == domains[1] {
					t.Errorf("job %d has witnesses in %q; want %d", i, domains, c.want)
				}
			}
		})
	}
}

// Guards against settled jobs that stay in the list of those without an outcome
// row, and against jobs without one that are taken out of it.
func TestSettledJobsLeaveTheList(t *testing.T) {
	g := newHarness(t, 4)
	for i := range 6 {
		g.finish(g.submit(CallID(i+1), fmt.Sprint(i)))
	}
	for _, id := range []string{"0", "3", "4"} {
		g.settle(id)
	}
	g.handle(Tick{})
	if got := len(g.state.settling); got != 3 {
		t.Errorf("%d jobs without an outcome row listed; want 3", got)
	}
	// Evicted jobs must not stay reachable through the array under the slice.
	settled := g.state.settled
	g.advance(g.state.Config.OutcomeCache + time.Second)
	for i, j := range settled {
		if j != nil {
			t.Errorf("evicted job %d is still referenced", i)
		}
	}
}
