package launcher

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/supervisor"
)

// reportRecorder is a transport that keeps the last report sent to an entry.
type reportRecorder struct{ last messenger.Report }

func (r *reportRecorder) Run(context.Context) error           { return nil }
func (r *reportRecorder) SetTargets([]messenger.EntryAddress) {}
func (r *reportRecorder) Send(_ messenger.Incarnation, m messenger.Message) bool {
	if report, ok := m.(messenger.Report); ok {
		r.last = report
	}
	return true
}

// service returns the service for which entries may place tasks according to the last
// report, or "" if there is none.
func (r *reportRecorder) service() string {
	if r.last.Load.Draining {
		return ""
	}
	return r.last.Load.Service
}

// silentEndpoint answers no call; the test injects the answers as events.
type silentEndpoint struct{}

func (silentEndpoint) Start(context.Context, supervisor.Start) (supervisor.Refusal, error) {
	return "", supervisor.ErrNoAnswer
}

func (silentEndpoint) Stop(context.Context, supervisor.Stop) (supervisor.Refusal, error) {
	return "", supervisor.ErrNoAnswer
}

func (silentEndpoint) Hold(ctx context.Context, _ supervisor.Hold) (supervisor.Lists, supervisor.Refusal, error) {
	<-ctx.Done()
	return supervisor.Lists{}, "", supervisor.ErrNoAnswer
}

// Guards against a restarted agent that waits for a heartbeat although the stored
// announcement and an answer from the endpoint suffice, and against using the stored
// announcement for another boot of the endpoint.
func TestRestartedAgentUsesStoredAnnouncement(t *testing.T) {
	stored := supervisor.Announcement{Boot: supervisor.Boot{ID: "i-1", Address: "endpoint", Born: 100}, Service: "dispatch", Slots: 8}
	departing := stored
	departing.Departing = true
	loaded := agentEvent{stored: &stored}
	answered := func(born int64) agentEvent {
		return agentEvent{endpoint: supervisor.HoldAnswered{Call: 1, Lists: supervisor.Lists{Born: born, Clock: time.Hour}}}
	}
	for _, scenario := range []struct {
		name   string
		events []agentEvent
		// service is the service that the agent reports afterwards.
		service string
	}{
		{"loaded, then answered", []agentEvent{loaded, answered(100)}, "dispatch"},
		{"answered, then loaded", []agentEvent{answered(100), loaded}, "dispatch"},
		{"nothing stored", []agentEvent{answered(100)}, ""},
		{"no answer", []agentEvent{loaded}, ""},
		{"another boot", []agentEvent{loaded, answered(200)}, ""},
		{"departing", []agentEvent{{stored: &departing}, answered(100)}, ""},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			sent := &reportRecorder{}
			c := &agentControl{
				logger: zap.NewNop(), clock: newClock(), transport: sent, state: &gatekeeper.State{Name: "agent-1"},
			}
			c.prepare(time.Second)
			c.supervise(&LeasedEndpoint{Address: "endpoint", Token: 1})
			c.endpoint.endpointCalls.Endpoint = silentEndpoint{}
			handle := func(event agentEvent) {
				for _, effect := range c.handle(c.clock.now(), event) {
					c.execute(effect)
				}
			}
			handle(agentEvent{gatekeeper: gatekeeper.EntryLinked{Entry: "entry-1"}})
			handle(agentEvent{gatekeeper: gatekeeper.Tick{}})
			for _, event := range scenario.events {
				handle(event)
			}
			if got := sent.service(); got != scenario.service {
				t.Errorf("the agent reports service %q, want %q", got, scenario.service)
			}
		})
	}
}
