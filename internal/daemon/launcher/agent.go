package launcher

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/guard"
	"github.com/burdockrudder/burdockrudder/internal/edge/invoker"
	"github.com/burdockrudder/burdockrudder/internal/kernel/registrar"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// agentTick is the interval of an agent's ticks. No decision needs ticks closer together
// than the report interval of 500 ms; queued tasks start on events, not on ticks.
const agentTick = 100 * time.Millisecond

// Agent is the agent daemon. Its exported fields must be set before Run. A program that
// embeds the agent may supply its own endpoint and transport.
type Agent struct {
	Config      AgentConfig
	Incarnation messenger.Incarnation
	// Endpoint runs the tasks.
	Endpoint invoker.Endpoint
	// Leased, if set, runs the tasks under a lease and replaces Endpoint.
	Leased *LeasedEndpoint
	// Announcements, if set, builds the service that receives the endpoint's
	// announcements. It replaces the HTTP server on Config.AnnounceListen.
	Announcements func(sink AnnouncementSink) registrar.Service
	// Table, if set, is used to find entries while the agent has no link, and to store
	// the last announcement of a leased endpoint.
	Table storer.Table
	// TakenOut, if set, reads from the store whether the agent's failure domain was taken
	// out. It is used while no entry confirms the settings.
	TakenOut func(context.Context) (bool, error)
	// Timing, if set, overrides the timing of the agent's decisions.
	Timing func(*gatekeeper.State)
	// EntryLinks is the number of entries to which the agent keeps links; 0 means all. A
	// small number keeps the cost of the links flat in a large fleet.
	EntryLinks int
	// Transport builds the transport that delivers messages to the handler.
	Transport func(handler Handler) Transport
	// AnnounceListener replaces Config.AnnounceListen.
	AnnounceListener net.Listener
	// Guard bounds what clients take; nil means the default bounds.
	Guard  *guard.Guard
	Logger *zap.Logger
	Scope  tally.Scope
}

// Hello describes this agent to the entries.
func (a *Agent) Hello() messenger.Hello {
	return messenger.Hello{
		Role:          messenger.RoleAgent,
		Name:          a.Config.Name,
		Incarnation:   a.Incarnation,
		Firm:          a.Config.Firm,
		Place:         a.Config.Place,
		FailureDomain: a.Config.FailureDomain,
	}
}

// Run runs the agent until ctx ends, then drains the agent and returns.
func (a *Agent) Run(ctx context.Context) error {
	kernel := &registrar.Kernel{Logger: a.Logger}
	control := &agentControl{
		kernel:   kernel,
		logger:   a.Logger,
		scope:    a.Scope,
		counters: newDecisionCounters(a.Scope),
		clock:    newClock(),
		targets:  agentTargets{Name: a.Config.Name, Bootstrap: a.bootstrap(), Limit: a.EntryLinks},
		state:    &gatekeeper.State{Name: a.Config.Name, Incarnation: a.Incarnation},
	}
	if a.Timing != nil {
		a.Timing(control.state)
	}
	control.prepare(time.Duration(a.Config.DrainTimeout))
	if a.Leased != nil {
		control.supervise(a.Leased)
	}
	parts := []part{
		{serviceTransport, a.Transport(control)},
		{serviceInvoker, newInvocations(a.Endpoint, control)},
		{serviceHTTP, a.announcements(control)},
		{serviceControl, control},
	}
	if control.endpoint != nil {
		// Services stop in reverse order, so calls to the endpoint continue until the
		// control goroutine has drained.
		parts = slices.Insert(parts, 1, part{serviceEndpoint, control.endpoint.endpointCalls})
	}
	if a.Table != nil && control.endpoint != nil {
		control.endpoint.archive = newEndpointArchive(a.Table, a.Config.Name, control, a.Logger)
		parts = append(parts, part{serviceArchive, control.endpoint.archive})
	}
	if a.TakenOut != nil {
		control.verifier = newDomainVerifier(a.TakenOut, control, a.Logger)
		parts = append(parts, part{serviceVerifier, control.verifier})
	}
	if a.Table != nil {
		parts = append(parts, part{serviceDirectory, &directoryReader{table: a.Table, control: control, logger: a.Logger}})
	}
	for _, p := range parts {
		if err := kernel.Register(p.name, p.part); err != nil {
			return fmt.Errorf("assemble agent %s: %w", a.Config.Name, err)
		}
	}
	a.Logger.Info("agent starts", zap.String("incarnation", string(a.Incarnation)))
	defer a.Logger.Info("agent has stopped", zap.String("incarnation", string(a.Incarnation)))
	return kernel.Run(ctx)
}

// part is a service or a helper with the name it is registered under.
type part struct {
	name string
	part any
}

func (a *Agent) announcements(control *agentControl) any {
	if a.Announcements != nil {
		return a.Announcements(control)
	}
	return &announceServer{
		address: a.Config.AnnounceListen, listener: a.AnnounceListener, control: control,
		guard: guard.OrDefault(a.Guard, a.Logger, a.Scope),
	}
}

// bootstrap returns the configured entries, which are dialed before a directory is known.
func (a *Agent) bootstrap() []messenger.EntryAddress {
	targets := make([]messenger.EntryAddress, 0, len(a.Config.Entries))
	for _, address := range a.Config.Entries {
		targets = append(targets, messenger.EntryAddress{Address: address})
	}
	return targets
}
