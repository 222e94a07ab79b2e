package launcher

import (
	"context"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/kernel/registrar"
)

// flushDelay lets the last results leave before the transport stops.
const flushDelay = 200 * time.Millisecond

// agentControl runs an agent's decisions and carries out their effects.
type agentControl struct {
	kernel    *registrar.Kernel
	logger    *zap.Logger
	scope     tally.Scope
	clock     clock
	bootstrap []messenger.EntryAddress

	state       *gatekeeper.State
	loop        *loop[gatekeeper.Event, gatekeeper.Effect]
	transport   Transport
	invocations *invocations
}

func (c *agentControl) prepare(drainPatience time.Duration) {
	c.loop = newLoop[gatekeeper.Event, gatekeeper.Effect]()
	c.loop.tick = gatekeeper.Tick{}
	c.loop.every = agentTick
	c.loop.drain = gatekeeper.DrainRequested{}
	c.loop.drainPatience = drainPatience
	c.loop.now = c.clock.now
	c.loop.handle = c.state.Handle
	c.loop.carryOut = c.carryOut
	c.loop.after = func(time.Time) {}
}

// Run finds the services that carry out effects and runs the control goroutine.
func (c *agentControl) Run(ctx context.Context) error {
	var err error
	if c.transport, err = registrar.Lookup[Transport](c.kernel, serviceTransport); err != nil {
		return err
	}
	if c.invocations, err = registrar.Lookup[*invocations](c.kernel, serviceInvoker); err != nil {
		return err
	}
	c.transport.SetTargets(c.bootstrap)
	err = c.loop.run(ctx)
	time.Sleep(flushDelay)
	return err
}

func (c *agentControl) carryOut(effect gatekeeper.Effect) bool {
	switch e := effect.(type) {
	case gatekeeper.Send:
		c.transport.Send(e.To, e.Message)
	case gatekeeper.Invoke:
		c.invocations.start(e)
	case gatekeeper.DirectoryChanged:
		c.transport.SetTargets(c.targets(e.Directory))
	case gatekeeper.Decision:
		c.logDecision(e)
	case gatekeeper.Drained:
		return true
	}
	return false
}

// targets adds the bootstrap addresses that the directory lacks: an entry that
// has just come back may not be in it yet.
func (c *agentControl) targets(directory []messenger.EntryAddress) []messenger.EntryAddress {
	targets := slices.Clone(directory)
	for _, b := range c.bootstrap {
		known := slices.ContainsFunc(directory, func(d messenger.EntryAddress) bool { return d.Address == b.Address })
		if !known {
			targets = append(targets, b)
		}
	}
	return targets
}

func (c *agentControl) logDecision(d gatekeeper.Decision) {
	outcome := "refuse"
	if d.Started {
		outcome = "start"
	}
	c.scope.Tagged(map[string]string{"kind": outcome}).Counter("decisions").Inc(1)
	c.logger.Info("decision",
		zap.String("kind", outcome),
		zap.Stringer("submission", d.Task.Submission),
		zap.Int("task", d.Task.Index),
		zap.Int("attempt", d.Attempt),
		zap.String("owner", string(d.Owner)),
		zap.String("reason", string(d.Reason)),
	)
}

// Linked takes a new link from the transport.
func (c *agentControl) Linked(peer messenger.Hello) {
	c.loop.post(gatekeeper.EntryLinked{Entry: peer.Incarnation})
}

// Unlinked takes the end of a link.
func (c *agentControl) Unlinked(peer messenger.Incarnation) {
	c.loop.post(gatekeeper.EntryUnlinked{Entry: peer})
}

// Received takes a message from the transport.
func (c *agentControl) Received(from messenger.Incarnation, m messenger.Message) {
	c.loop.post(gatekeeper.Received{From: from, Message: m})
}
