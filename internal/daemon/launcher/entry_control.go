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
	"github.com/burdockrudder/burdockrudder/internal/transport/selector"
)

const (
	// snapshotInterval is the minimum interval between snapshots published after ticks. It
	// bounds the age of the published snapshot.
	snapshotInterval = 100 * time.Millisecond
	// drainMargin is added to the drain timeout of the decision code, which normally ends
	// the drain itself.
	drainMargin = 5 * time.Second
	// sampleStream gives the sampling of log lines a random stream separate from that of
	// the decisions, which must not depend on the sampling.
	sampleStream = 0x6c6f67
)

// ErrReplaced means that another entry has taken over the work of this incarnation.
var ErrReplaced = errors.New("this entry incarnation was replaced")

// entryControl runs an entry's decision code and executes its effects.
type entryControl struct {
	kernel *registrar.Kernel
	logger *zap.Logger
	scope  tally.Scope
	trace  *traceFile
	clock  clock
	sample *rand.Rand

	state          *coordinator.State
	loop           *loop[coordinator.Event, coordinator.Effect]
	calls          callTable
	counters       decisionCounters
	snapshot       atomic.Pointer[coordinator.Snapshot]
	publishedAt    time.Time
	replacedReason string

	transport Transport
	journal   journal
	leaser    entryLeaser
}

// journal is the part of the journaler that entryControl uses.
type journal interface {
	CommitIntent(effect coordinator.CommitIntent)
	ReadIntent(effect coordinator.ReadIntent)
	CommitOutcome(effect coordinator.CommitOutcome)
}

// entryLeaser is the part of the leaser that entryControl uses.
type entryLeaser interface {
	RenewLease(effect coordinator.RenewLease)
	FenceEntry(effect coordinator.FenceEntry)
	ReleaseLease()
}

func (c *entryControl) prepare(drainTimeout time.Duration) {
	c.loop = newLoop[coordinator.Event, coordinator.Effect]()
	c.loop.tick = coordinator.Tick{}
	c.loop.tickInterval = coordinator.TickInterval
	c.loop.drain = coordinator.DrainRequested{}
	c.loop.drainTimeout = drainTimeout + drainMargin
	c.loop.now = c.clock.now
	c.loop.handle = c.handle
	c.loop.execute = c.execute
	c.loop.afterTick = c.publish
}

// Run looks up the services that execute effects and runs the control goroutine.
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
	if c.replacedReason != "" {
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

func (c *entryControl) execute(effect coordinator.Effect) bool {
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
		c.logger.Error("this entry incarnation was replaced; stopping", zap.String("reason", e.Reason))
		c.replacedReason = e.Reason
		return true
	}
	return false
}

// updateTargets sets the transport's targets to the entries to link to among those in the
// published directory that are not fenced.
func (c *entryControl) updateTargets() {
	view := c.snapshot.Load()
	if view == nil {
		return
	}
	var targets []messenger.EntryAddress
	for _, row := range view.Directory {
		if !row.Fenced {
			targets = append(targets, messenger.EntryAddress{
				Name: row.Name, Incarnation: row.Incarnation, Address: row.Address,
			})
		}
	}
	c.transport.SetTargets(selector.Peers(c.state.Config.Name, targets, c.state.Config.PeerLinks))
}

func (c *entryControl) logDecision(d coordinator.Decision) {
	c.counters.of(string(d.Kind)).Inc(1)
	if !c.shouldLog(d) {
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

// shouldLog reports whether a decision is written to the log. Only placement decisions are
// sampled, at the share given by the settings.
func (c *entryControl) shouldLog(d coordinator.Decision) bool {
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
	if !now.IsZero() && now.Sub(c.publishedAt) < snapshotInterval {
		return
	}
	c.publishedAt = now
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
	c.scope.Gauge("admitted_late_total").Update(float64(view.Counters.AdmittedLate))
	c.scope.Gauge("answered_late_total").Update(float64(view.Counters.AnsweredLate))
	c.scope.Gauge("refused_late_total").Update(float64(view.Counters.RefusedLate))
	c.scope.Gauge("late_tasks").Update(float64(view.LateTasks))
	c.scope.Gauge("takeovers_total").Update(float64(view.Counters.Takeovers))
}

// Snapshot returns the last published snapshot, or nil if there is none yet.
func (c *entryControl) Snapshot() *coordinator.Snapshot {
	return c.snapshot.Load()
}

func (c *entryControl) emit(event coordinator.Event) {
	c.loop.post(event)
}

func (c *entryControl) settingsRead(sentAt time.Time, version uint64, tree *resolver.Tree) {
	c.loop.post(coordinator.SettingsRead{SentAt: c.clock.fromSystem(sentAt), Version: version, Tree: tree})
}

// Linked implements Handler.
func (c *entryControl) Linked(peer messenger.Hello) {
	if peer.Role == messenger.RoleAgent {
		c.loop.post(coordinator.AgentLinked{Hello: peer})
		return
	}
	c.loop.post(coordinator.PeerLinked{Name: peer.Name, Incarnation: peer.Incarnation})
}

// Unlinked implements Handler. It does nothing, because a peer counts as failed only when
// its messages stop, not when a link closes.
func (c *entryControl) Unlinked(messenger.Incarnation) {}

// Received implements Handler.
func (c *entryControl) Received(from messenger.Incarnation, m messenger.Message) {
	c.loop.post(coordinator.Received{From: from, Message: m})
}
