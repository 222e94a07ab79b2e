package launcher

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/edge/supervisor"
)

// Guards against an announcement of another writer that is confirmed to it, hides the
// endpoint from the entries or makes its departure known to them.
func TestUnconfirmedAnnouncementsAreNotUsed(t *testing.T) {
	own := supervisor.Announcement{Boot: supervisor.Boot{ID: "i-1", Address: "endpoint", Born: 100}, Service: "dispatch", Slots: 8}
	change := func(do func(*supervisor.Announcement)) supervisor.Announcement {
		changed := own
		do(&changed)
		return changed
	}
	for _, scenario := range []struct {
		name         string
		announcement supervisor.Announcement
		// answer is the answer to the probe of the announced boot.
		answer supervisor.HoldAnswered
		// service is the service that the agent reports afterwards.
		service string
		used    bool
	}{
		{
			"another address", change(func(a *supervisor.Announcement) { a.Boot = supervisor.Boot{ID: "i-9", Address: "elsewhere", Born: 900} }),
			supervisor.HoldAnswered{Refusal: supervisor.RefusedOther}, "dispatch", false,
		},
		{
			"another id departs", change(func(a *supervisor.Announcement) { a.Boot.ID, a.Departing = "i-9", true }),
			supervisor.HoldAnswered{Refusal: supervisor.RefusedBoot}, "dispatch", false,
		},
		{
			"a later boot that does not answer", change(func(a *supervisor.Announcement) { a.Boot.Born = 900 }),
			supervisor.HoldAnswered{Lists: supervisor.Lists{Born: 100, Clock: time.Hour}}, "dispatch", false,
		},
		{
			"another service of the same boot", change(func(a *supervisor.Announcement) { a.Service = "billing" }),
			supervisor.HoldAnswered{}, "dispatch", false,
		},
		{
			"a later boot that answers", change(func(a *supervisor.Announcement) { a.Boot.Born, a.Service = 900, "later" }),
			supervisor.HoldAnswered{Lists: supervisor.Lists{Born: 900, Clock: time.Hour}}, "", true,
		},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c, sent := announcedAgent(t, own)
			handled := make(chan error, 1)
			probe := deliver(c, agentEvent{announced: &scenario.announcement, handled: handled})
			if probe != 0 {
				scenario.answer.Call = probe
				deliver(c, agentEvent{endpoint: scenario.answer})
			}
			if err := <-handled; (err == nil) != scenario.used || err != nil && !errors.Is(err, ErrUnconfirmedBoot) {
				t.Errorf("answered with %v, want used %v", err, scenario.used)
			}
			deliver(c, agentEvent{gatekeeper: gatekeeper.Tick{}})
			if got := sent.service(); got != scenario.service {
				t.Errorf("the agent reports service %q, want %q", got, scenario.service)
			}
			if len(c.endpoint.unconfirmed) != 0 {
				t.Errorf("announcements left: %+v", c.endpoint.unconfirmed)
			}
		})
	}
}

// announcedAgent returns an agent whose endpoint has announced itself.
func announcedAgent(t *testing.T, own supervisor.Announcement) (*agentControl, *reportRecorder) {
	t.Helper()
	sent := &reportRecorder{}
	c := &agentControl{logger: zap.NewNop(), clock: newClock(), transport: sent, state: &gatekeeper.State{Name: "agent-1"}}
	c.prepare(time.Second)
	c.supervise(&LeasedEndpoint{Address: own.Boot.Address, Token: 1})
	c.endpoint.endpointCalls.Endpoint = silentEndpoint{}
	deliver(c, agentEvent{gatekeeper: gatekeeper.EntryLinked{Entry: "entry-1"}})
	deliver(c, agentEvent{gatekeeper: gatekeeper.Tick{}})
	deliver(c, agentEvent{endpoint: supervisor.HoldAnswered{Call: 1, Lists: supervisor.Lists{Born: own.Boot.Born, Clock: time.Hour}}})
	handled := make(chan error, 1)
	deliver(c, agentEvent{announced: &own, handled: handled})
	if err := <-handled; err != nil || sent.service() != own.Service {
		t.Fatalf("the endpoint's announcement was answered with %v; the agent reports service %q", err, sent.service())
	}
	return c, sent
}

// deliver handles an event and returns the number of the last hold that it causes, or 0.
func deliver(c *agentControl, event agentEvent) uint64 {
	call := uint64(0)
	for _, effect := range c.handle(c.clock.now(), event) {
		if hold, isHold := effect.endpoint.(supervisor.CallHold); isHold {
			call = hold.Call
		}
		c.execute(effect)
	}
	return call
}

// Guards against tasks for a restarted endpoint by the capacity that its previous boot
// announced.
func TestNextBootIsNotOfferedAsThePrevious(t *testing.T) {
	own := supervisor.Announcement{Boot: supervisor.Boot{ID: "i-1", Address: "endpoint", Born: 100}, Service: "dispatch", Slots: 8}
	c, sent := announcedAgent(t, own)
	// The endpoint restarts and answers the waiting hold before it announces itself again.
	deliver(c, agentEvent{endpoint: supervisor.HoldAnswered{Call: 2, Lists: supervisor.Lists{Born: 900, Clock: time.Hour}}})
	if !c.endpoint.state.IsReady() || c.endpoint.state.Boot.Born != 900 {
		t.Fatalf("the agent follows %+v, ready %v", c.endpoint.state.Boot, c.endpoint.state.IsReady())
	}
	deliver(c, agentEvent{gatekeeper: gatekeeper.Tick{}})
	if got := sent.service(); got != "" {
		t.Errorf("the agent reports service %q before the next boot has announced itself", got)
	}
	next := own
	next.Boot.Born, next.Slots = 900, 2
	handled := make(chan error, 1)
	deliver(c, agentEvent{announced: &next, handled: handled})
	if err := <-handled; err != nil || sent.service() != "dispatch" || sent.last.Load.Slots != 2 {
		t.Errorf("answered with %v, reported %+v", err, sent.last.Load)
	}
}
