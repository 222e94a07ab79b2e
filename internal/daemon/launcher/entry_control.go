package launcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/kernel/registrar"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

const (
	// snapshotInterval bounds the age of the published snapshot.
	snapshotInterval = 100 * time.Millisecond
	// drainMargin lets the decisions end a drain by themselves first.
	drainMargin = 5 * time.Second
	// sampleStream separates the sampling of log lines from the decisions'
	// random source, which must not depend on it.
	sampleStream = 0x6c6f67
)

// ErrReplaced means that another entry has taken over this incarnation's work.
var ErrReplaced = errors.New("this entry incarnation was replaced")

// entryControl runs an entry's decisions and carries out their effects.
type entryControl struct {
	kernel *registrar.Kernel
	logger *zap.Logger
	scope  tally.Scope
	trace  *traceFile
	clock  clock
	sample *rand.Rand

	state    *coordinator.State
	loop     *loop[coordinator.Event, coordinator.Effect]
	calls    callTable
	counted  decisionCounters
	snapshot atomic.Pointer[coordinator.Snapshot]
	shownAt  time.Time
	replaced string

	transport Transport
	journal   journal
	leaser    entryLeaser
}

// journal is what the control needs of the journaler.
type journal interface {
	CommitIntent(effect coordinator.CommitIntent)
	ReadIntent(effect coordinator.ReadIntent)
	CommitOutcome(effect coordinator.CommitOutcome)
}

// entryLeaser is what the control needs of the leaser.
type entryLeaser interface {
	RenewLease(effect coordinator.RenewLease)
	FenceEntry(effect coordinator.FenceEntry)
	ReleaseLease()
}

func (c *entryControl) prepare(drainPatience time.Duration) {
	c.loop = newLoop[coordinator.Event, coordinator.Effect]()
	c.loop.tick = coordinator.Tick{}
	c.loop.every = coordinator.TickInterval
	c.loop.drain = coordinator.DrainRequested{}
	c.loop.drainPatience = drainPatience + drainMargin
	c.loop.now = c.clock.now
	c.loop.handle = c.handle
	c.loop.carryOut = c.carryOut
	c.loop.after = c.publish
}

// Run finds the services that carry out effects and runs the control goroutine.
func (c *entryControl) Run(ctx context.Context) error {
	var err error
	if c.transport, err = registrar.Lookup[Transport](c.kernel, serviceTransport); err != nil {
		return err
	}
	if c.journal, err = registrar.Lookup[journal](c.kernel, serviceJournal); err != nil {
		return err
	}
	if c.leaser, err = registrar.Lookup[entryLeaser](c.kernel, serviceLeaser); err != nil {
		return err
	}
	defer c.trace.close()
	if err := c.loop.run(ctx); err != nil {
		return err
	}
	if c.replaced != "" {
		return ErrReplaced
	}
	return nil
}

func (c *entryControl) handle(now time.Time, event coordinator.Event) []coordinator.Effect {
	c.trace.record(now, event, c.logger)
	effects := c.state.Handle(now, event)
	switch event.(type) {
	case coordinator.SettingsRead:
		c.publish(time.Time{})
	case coordinator.LeaseRenewed:
		c.publish(time.Time{})
		c.updateTargets()
	}
	return effects
}

func (c *entryControl) carryOut(effect coordinator.Effect) bool {
	switch e := effect.(type) {
	case coordinator.Reply:
		c.calls.answer(e)
	case coordinator.Send:
		c.transport.Send(e.To, e.Message)
	case coordinator.CommitIntent:
		c.journal.CommitIntent(e)
	case coordinator.ReadIntent:
		c.journal.ReadIntent(e)
	case coordinator.CommitOutcome:
		c.journal.CommitOutcome(e)
	case coordinator.RenewLease:
		c.leaser.RenewLease(e)
	case coordinator.FenceEntry:
		c.leaser.FenceEntry(e)
	case coordinator.ReleaseLease:
		c.leaser.ReleaseLease()
	case coordinator.Decision:
		c.logDecision(e)
	case coordinator.Drained:
		return true
	case coordinator.Exit:
		c.logger.Error("entry was replaced", zap.String("reason", e.Reason))
		c.replaced = e.Reason
		return true
	}
	return false
}

// updateTargets links to the entries of the directory as it was read last.
func (c *entryControl) updateTargets() {
	view := c.snapshot.Load()
	if view == nil {
		return
	}
	var targets []messenger.EntryAddress
	for _, row := range view.Directory {
		if row.Incarnation != c.state.Config.Incarnation && !row.Fenced {
			targets = append(targets, messenger.EntryAddress{
				Name: row.Name, Incarnation: row.Incarnation, Address: row.Address,
			})
		}
	}
	c.transport.SetTargets(targets)
}

func (c *entryControl) logDecision(d coordinator.Decision) {
	c.counted.of(string(d.Kind)).Inc(1)
	if !c.logged(d) {
		return
	}
	c.logger.Info("decision",
		zap.String("kind", string(d.Kind)),
		zap.Stringer("submission", d.Submission),
		zap.Int("task", d.Task),
		zap.Int("attempt", d.Attempt),
		zap.String("endpoint", d.Endpoint),
		zap.String("reason", d.Reason),
		zap.Int("considered", d.Considered),
		zap.String("runner_up", d.RunnerUp),
	)
}

// logged samples placement decisions only if the settings say so.
func (c *entryControl) logged(d coordinator.Decision) bool {
	if d.Kind != coordinator.DecisionPlace {
		return true
	}
	view := c.snapshot.Load()
	if view == nil || view.Tree == nil {
		return true
	}
	settings, ok := view.Tree.ResolveAdmission(d.Submission.Firm, d.Submission.Service)
	return !ok || settings.LogDecisions >= 1 || c.sample.Float64() < settings.LogDecisions
}

func (c *entryControl) publish(now time.Time) {
	if !now.IsZero() && now.Sub(c.shownAt) < snapshotInterval {
		return
	}
	c.shownAt = now
	view := c.state.View()
	c.snapshot.Store(view)
	c.updateMetrics(view)
}

func (c *entryControl) updateMetrics(view *coordinator.Snapshot) {
	c.scope.Gauge("live_submissions").Update(float64(view.LiveSubmissions))
	c.scope.Gauge("waiting_tasks").Update(float64(view.WaitingTasks))
	c.scope.Gauge("sent_tasks").Update(float64(view.SentTasks))
	c.scope.Gauge("settings_version").Update(float64(view.SettingsVersion))
	c.scope.Gauge("endpoints").Update(float64(len(view.Endpoints)))
	c.scope.Gauge("starts_total").Update(float64(view.Counters.Starts))
	c.scope.Gauge("complete_total").Update(float64(view.Counters.Complete))
	c.scope.Gauge("failed_total").Update(float64(view.Counters.Failed))
	c.scope.Gauge("refused_total").Update(float64(view.Counters.Refused))
	c.scope.Gauge("takeovers_total").Update(float64(view.Counters.Takeovers))
}

// Snapshot returns the last published state, nil before the first.
func (c *entryControl) Snapshot() *coordinator.Snapshot {
	return c.snapshot.Load()
}

func (c *entryControl) emit(event coordinator.Event) {
	c.loop.post(event)
}

func (c *entryControl) settingsRead(sentAt time.Time, version uint64, tree *resolver.Tree) {
	c.loop.post(coordinator.SettingsRead{SentAt: c.clock.at(sentAt), Version: version, Tree: tree})
}

// Linked takes a new link from the transport.
func (c *entryControl) Linked(peer messenger.Hello) {
	if peer.Role == messenger.RoleAgent {
		c.loop.post(coordinator.AgentLinked{Hello: peer})
		return
	}
	c.loop.post(coordinator.PeerLinked{Name: peer.Name, Incarnation: peer.Incarnation})
}

// Unlinked is ignored: silence, not the end of a connection, counts.
func (c *entryControl) Unlinked(messenger.Incarnation) {}

// Received takes a message from the transport.
func (c *entryControl) Received(from messenger.Incarnation, m messenger.Message) {
	c.loop.post(coordinator.Received{From: from, Message: m})
}
