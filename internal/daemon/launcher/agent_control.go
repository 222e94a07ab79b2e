package launcher

import (
	"context"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/supervisor"
	"github.com/burdockrudder/burdockrudder/internal/kernel/registrar"
)

// flushDelay is the time for sending the last results before the transport stops.
const flushDelay = 200 * time.Millisecond

// agentControl runs an agent's decision code and executes its effects.
type agentControl struct {
	kernel  *registrar.Kernel
	logger  *zap.Logger
	scope   tally.Scope
	clock   clock
	targets agentTargets
	// entries are the entries to dial as soon as linking is allowed, and left the linked
	// ones among them that the agent leaves. Both were chosen at chosenAt.
	entries  []messenger.EntryAddress
	left     []messenger.Incarnation
	chosenAt time.Time
	counters decisionCounters

	state *gatekeeper.State
	loop  *loop[agentEvent, agentEffect]
	// endpoint is set if the tasks run under a lease.
	endpoint *endpointControl
	// verifier is set if the agent can read the state of its failure domain.
	verifier    *domainVerifier
	transport   Transport
	invocations *invocations
}

func (c *agentControl) prepare(drainTimeout time.Duration) {
	c.loop = newLoop[agentEvent, agentEffect]()
	c.loop.tick = agentEvent{gatekeeper: gatekeeper.Tick{}}
	c.loop.tickInterval = agentTick
	c.loop.drain = agentEvent{gatekeeper: gatekeeper.DrainRequested{}}
	c.loop.drainTimeout = drainTimeout
	c.loop.now = c.clock.now
	c.loop.handle = c.handle
	c.loop.execute = c.execute
	c.loop.afterTick = c.chooseEntriesAgain
}

// chooseEntries chooses the entries to dial and leaves the others.
func (c *agentControl) chooseEntries(now time.Time) {
	entries, left := c.targets.choose(now)
	c.chosenAt = now
	if !slices.Equal(entries, c.entries) {
		c.logger.Info("choice of entries changed",
			zap.Int("entries", len(entries)), zap.Int("left", len(left)), zap.Int("links", len(c.targets.links())))
	}
	c.entries = entries
	c.link()
	if len(left) > 0 || len(c.left) > 0 {
		// Repeated for entries whose link has ended and opened again since.
		c.left = left
		c.executeAll(gatekeeperEffects(c.state.Handle(now, gatekeeper.LeaveEntries{Entries: left})))
	}
}

// chooseEntriesAgain periodically takes links that have opened or closed into account.
func (c *agentControl) chooseEntriesAgain(now time.Time) {
	if c.targets.Limit > 0 && now.Sub(c.chosenAt) >= choiceInterval {
		c.chooseEntries(now)
	}
}

// Run looks up the services that execute effects and runs the control goroutine.
func (c *agentControl) Run(ctx context.Context) error {
	var err error
	if c.transport, err = registrar.Lookup[Transport](c.kernel, serviceTransport); err != nil {
		return err
	}
	if c.invocations, err = registrar.Lookup[*invocations](c.kernel, serviceInvoker); err != nil {
		return err
	}
	c.entries = c.targets.Bootstrap
	c.link()
	err = c.loop.run(ctx)
	time.Sleep(flushDelay)
	return err
}

// agentEvent is an event for the gatekeeper, an event for the supervisor of the endpoint,
// or an event that concerns both. Exactly one of the fields other than handled is set.
type agentEvent struct {
	gatekeeper gatekeeper.Event
	endpoint   supervisor.Event
	// announced is an announcement; handled receives the result of its processing.
	announced *supervisor.Announcement
	handled   chan error
	// stored is the announcement stored by an earlier incarnation of this agent.
	stored *supervisor.Announcement
	// entries are the entries listed in the table.
	entries []messenger.EntryAddress
}

// agentEffect is an effect of the gatekeeper or of the supervisor.
type agentEffect struct {
	gatekeeper gatekeeper.Effect
	endpoint   supervisor.Effect
}

func (c *agentControl) post(event gatekeeper.Event) {
	c.loop.post(agentEvent{gatekeeper: event})
}

func (c *agentControl) handle(now time.Time, event agentEvent) []agentEffect {
	switch {
	case event.announced != nil:
		return c.handleAnnouncement(*event.announced, event.handled)
	case event.stored != nil:
		c.endpoint.stored = *event.stored
		return c.useStoredAnnouncement()
	case event.entries != nil:
		c.targets.list(now, event.entries)
		c.chooseEntries(now)
		return nil
	case event.endpoint != nil:
		return endpointEffects(c.endpoint.state.Handle(time.Now(), event.endpoint))
	}
	effects := gatekeeperEffects(c.state.Handle(now, event.gatekeeper))
	if _, tick := event.gatekeeper.(gatekeeper.Tick); tick && c.endpoint != nil {
		effects = append(effects, endpointEffects(c.endpoint.state.Handle(time.Now(), supervisor.Tick{}))...)
		c.linkAfterLeases()
	}
	return effects
}

func (c *agentControl) execute(effect agentEffect) bool {
	if effect.endpoint != nil {
		return c.executeEndpoint(effect.endpoint)
	}
	return c.executeGatekeeper(effect.gatekeeper)
}

func (c *agentControl) executeGatekeeper(effect gatekeeper.Effect) bool {
	switch e := effect.(type) {
	case gatekeeper.Send:
		c.transport.Send(e.To, e.Message)
	case gatekeeper.Invoke:
		return c.invoke(e)
	case gatekeeper.Abort:
		return c.abort(e)
	case gatekeeper.DirectoryChanged:
		c.targets.list(c.clock.now(), e.Directory)
		c.chooseEntries(c.clock.now())
	case gatekeeper.Release:
		c.targets.release(e.Entry)
		c.chooseEntries(c.clock.now())
	case gatekeeper.VerifyDomain:
		if c.verifier != nil {
			c.verifier.request()
		}
	case gatekeeper.Decision:
		c.logDecision(e)
	case gatekeeper.HealthDecision:
		c.logHealth(e)
	case gatekeeper.Drained:
		return true
	}
	return false
}

func (c *agentControl) logDecision(d gatekeeper.Decision) {
	outcome := "refuse"
	switch {
	case d.Started:
		outcome = "start"
	case d.Cancelled:
		outcome = "cancel"
	}
	c.counters.of(outcome).Inc(1)
	if d.Doubt != "" {
		c.scope.Tagged(map[string]string{"doubt": string(d.Doubt)}).Counter("unproven_answers").Inc(1)
	}
	c.logger.Info("decision",
		zap.String("kind", outcome),
		zap.Stringer("submission", d.Task.Submission),
		zap.Int("task", d.Task.Index),
		zap.Int("attempt", d.Attempt),
		zap.String("owner", string(d.Owner)),
		zap.String("reason", string(d.Reason)),
		zap.String("doubt", string(d.Doubt)),
		zap.Int("milli_cpu", d.Size.MilliCPU),
		zap.Int("taken_milli_cpu", d.Taken.MilliCPU),
		zap.Int("capacity_milli_cpu", d.Capacity.MilliCPU),
	)
}

// Linked implements Handler.
func (c *agentControl) Linked(peer messenger.Hello) {
	c.targets.linkOpened(peer)
	c.post(gatekeeper.EntryLinked{Entry: peer.Incarnation})
}

// Unlinked implements Handler.
func (c *agentControl) Unlinked(peer messenger.Incarnation) {
	c.targets.linkClosed(peer)
	c.post(gatekeeper.EntryUnlinked{Entry: peer})
}

// Received implements Handler.
func (c *agentControl) Received(from messenger.Incarnation, m messenger.Message) {
	c.post(gatekeeper.Received{From: from, Message: m})
}
