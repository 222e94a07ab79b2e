package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// witnesses returns the failure domains of the agents that were asked to keep an outcome
// since the effects were last cleared, and clears them.
func (h *harness) witnesses() (domains []string) {
	for _, effect := range h.effects {
		send, ok := effect.(Send)
		if _, asked := send.Message.(messenger.Witness); ok && asked {
			domains = append(domains, h.state.agentByIncarnation[send.To].hello.FailureDomain)
		}
	}
	h.effects = nil
	return domains
}

// Guards against two witnesses in one failure domain where there are several domains, and
// against fewer than two witnesses where there is only one domain.
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
			h := newHarness(t, c.agents)
			// Witnesses are not used while another entry might reach the store.
			h.entries = 1
			h.advance(2 * time.Second)
			for _, a := range h.state.sortedAgents {
				if c.alike {
					a.hello.FailureDomain = "sousse"
				}
			}
			for i := range 12 {
				start := h.submit(CallID(i+1), fmt.Sprint(i))
				h.effects = nil
				h.finish(start)
				h.handle(OutcomeSettled{Key: start.Message.(messenger.Start).Task.Submission, Failed: true})
				domains := h.witnesses()
				if len(domains) != c.want || len(domains) == 2 && !c.alike && domains[0] == domains[1] {
					t.Errorf("job %d has witnesses in %q; want %d", i, domains, c.want)
				}
			}
		})
	}
}

// Guards against settled jobs that stay in State.settling, and against unsettled jobs that
// are removed from it.
func TestSettledJobsLeaveTheList(t *testing.T) {
	h := newHarness(t, 4)
	for i := range 6 {
		h.finish(h.submit(CallID(i+1), fmt.Sprint(i)))
	}
	for _, id := range []string{"0", "3", "4"} {
		h.settle(id)
	}
	h.handle(Tick{})
	if got := len(h.state.settling); got != 3 {
		t.Errorf("%d jobs without an outcome row listed; want 3", got)
	}
	// The backing array of the slice must not keep evicted jobs reachable.
	settled := h.state.settled
	h.advance(h.state.Config.OutcomeRetention + time.Second)
	for i, j := range settled {
		if j != nil {
			t.Errorf("evicted job %d is still referenced", i)
		}
	}
}
