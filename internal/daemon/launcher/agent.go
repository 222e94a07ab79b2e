package launcher

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/invoker"
	"github.com/burdockrudder/burdockrudder/internal/kernel/registrar"
)

// agentTick is the time between an agent's ticks. Nothing at an agent depends on
// less than the report interval of 500 ms; queued tasks start on events.
const agentTick = 100 * time.Millisecond

// Agent is the agent daemon. Its exported fields are set before Run. A host
// program may supply its own endpoint and transport.
type Agent struct {
	Config      AgentConfig
	Incarnation messenger.Incarnation
	// Endpoint runs the tasks.
	Endpoint invoker.Endpoint
	// Transport builds the transport that delivers to the handler.
	Transport func(handler Handler) Transport
	// AnnounceListener replaces Config.AnnounceListen.
	AnnounceListener net.Listener
	Logger           *zap.Logger
	Scope            tally.Scope
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

// Run runs the agent until ctx ends, then drains and returns.
func (a *Agent) Run(ctx context.Context) error {
	kernel := &registrar.Kernel{Logger: a.Logger}
	control := &agentControl{
		kernel:    kernel,
		logger:    a.Logger,
		scope:     a.Scope,
		clock:     newClock(),
		bootstrap: a.bootstrap(),
		state:     &gatekeeper.State{Name: a.Config.Name, Incarnation: a.Incarnation},
	}
	control.prepare(time.Duration(a.Config.DrainPatience))
	parts := []struct {
		name string
		part any
	}{
		{serviceTransport, a.Transport(control)},
		{serviceInvoker, newInvocations(a.Endpoint, control)},
		{serviceHTTP, &announceServer{address: a.Config.AnnounceListen, listener: a.AnnounceListener, control: control}},
		{serviceControl, control},
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

// bootstrap lists the entries to link to before a directory is known.
func (a *Agent) bootstrap() []messenger.EntryAddress {
	targets := make([]messenger.EntryAddress, 0, len(a.Config.Entries))
	for _, address := range a.Config.Entries {
		targets = append(targets, messenger.EntryAddress{Address: address})
	}
	return targets
}
