package launcher

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/edge/supervisor"
)

// announcementLifetime is the maximum age of an announcement, other than a departure, that
// is forwarded to the gatekeeper. An announcement may be forwarded again when the endpoint
// becomes ready after an interruption.
const announcementLifetime = 3 * time.Second

// LeasedEndpoint configures an endpoint that runs tasks under a lease. Its fields must be
// set before the agent runs.
type LeasedEndpoint struct {
	Client supervisor.Endpoint
	// Address is the endpoint's address until the endpoint has announced itself.
	Address string
	// Token is the first fencing token. It must exceed the tokens of all earlier
	// incarnations of the agent.
	Token uint64
	// Lease is the longest lease that the endpoint grants.
	Lease time.Duration
}

// ErrUnconfirmedBoot means that an announcement was not used, because the endpoint beside
// this agent has not answered from the announced boot.
var ErrUnconfirmedBoot = errors.New("the endpoint has not answered from the announced boot")

// AnnouncementSink receives the announcements of a leased endpoint.
// EndpointAnnounced returns after the agent has handled the announcement. An error means
// that the announcement was not used (ErrUnconfirmedBoot) or may not be stored, so that a
// later incarnation of the agent might not know of it: the announcement must not be
// confirmed to the endpoint.
type AnnouncementSink interface {
	EndpointAnnounced(announcement supervisor.Announcement) error
}

// endpointControl is the part of agentControl that supervises a leased endpoint.
type endpointControl struct {
	// state is passed the times of time.Now, because its times must not advance while the
	// host is suspended. The gatekeeper's times, from agentControl.clock, do advance then.
	state         *supervisor.State
	endpointCalls *supervisor.Caller
	// announcement is the last announcement of a confirmed boot, handled at announcedAt.
	announcement supervisor.Announcement
	announcedAt  time.Time
	// unconfirmed are the announcements whose boot has not been confirmed yet, oldest first.
	unconfirmed []unconfirmedAnnouncement
	// stored is the announcement stored by an earlier incarnation of this agent. It is
	// used only if the endpoint has answered from the same boot.
	stored  supervisor.Announcement
	archive *endpointArchive
	// linked is true once the entries are dialed.
	linked bool
}

func (c *agentControl) supervise(leased *LeasedEndpoint) {
	endpointCalls := &supervisor.Caller{
		Endpoint: leased.Client,
		Deliver:  func(e supervisor.Event) { c.loop.post(agentEvent{endpoint: e}) },
	}
	endpointCalls.Prepare()
	c.endpoint = &endpointControl{
		state: &supervisor.State{
			Token:      leased.Token,
			Lease:      leased.Lease,
			LeaseBound: func(longest time.Duration) time.Duration { return c.state.LeaseBound(c.clock.now(), longest) },
			Boot:       supervisor.Boot{Address: leased.Address},
		},
		endpointCalls: endpointCalls,
	}
}

// EndpointAnnounced implements AnnouncementSink.
func (c *agentControl) EndpointAnnounced(announcement supervisor.Announcement) error {
	handled := make(chan error, 1)
	c.loop.post(agentEvent{announced: &announcement, handled: handled})
	select {
	case err := <-handled:
		if err != nil {
			return err
		}
	case <-c.loop.stopped:
	}
	if c.endpoint.archive == nil {
		return nil
	}
	return c.endpoint.archive.store(announcement)
}

// unconfirmedAnnouncement is an announcement whose boot is being probed. handled, if set,
// receives the result.
type unconfirmedAnnouncement struct {
	supervisor.Announcement
	handled chan<- error
}

// handleAnnouncement uses an announcement once the endpoint has answered from its boot.
func (c *agentControl) handleAnnouncement(a supervisor.Announcement, handled chan<- error) []agentEffect {
	e := c.endpoint
	e.unconfirmed = append(e.unconfirmed, unconfirmedAnnouncement{Announcement: a, handled: handled})
	if a.Departing && a.Boot.Born == 0 {
		// The endpoint has not announced itself to this incarnation of the agent.
		return c.useAnnouncements(a.Boot)
	}
	return endpointEffects(e.state.Handle(time.Now(), supervisor.Announced{Boot: a.Boot}))
}

// useAnnouncements records the announcements of a confirmed boot and forwards the last one
// to the gatekeeper.
func (c *agentControl) useAnnouncements(boot supervisor.Boot) []agentEffect {
	e := c.endpoint
	for _, a := range c.takeUnconfirmed(boot) {
		if e.announcement.ContradictedBy(a.Announcement) {
			c.logger.Warn("announcement not used: its service is not the one of its boot",
				zap.String("endpoint", boot.ID), zap.String("service", a.Service), zap.String("known", e.announcement.Service))
			a.answer(fmt.Errorf("%w: service %q", ErrUnconfirmedBoot, a.Service))
			continue
		}
		e.announcement, e.announcedAt = a.Announcement, time.Now()
		a.answer(nil)
	}
	return c.forwardAnnouncement(c.clock.now())
}

// dropAnnouncements answers the announcements of a boot that was not confirmed.
func (c *agentControl) dropAnnouncements(u supervisor.Unconfirmed) {
	c.logger.Warn("announcement not used: the endpoint has not answered from the announced boot",
		zap.String("endpoint", u.Boot.ID), zap.String("address", u.Boot.Address), zap.Int64("born", u.Boot.Born),
		zap.String("followed", c.endpoint.state.Boot.ID), zap.String("reason", u.Reason))
	for _, a := range c.takeUnconfirmed(u.Boot) {
		a.answer(fmt.Errorf("%w: %s", ErrUnconfirmedBoot, u.Reason))
	}
}

// takeUnconfirmed removes and returns the unconfirmed announcements of a boot.
func (c *agentControl) takeUnconfirmed(boot supervisor.Boot) []unconfirmedAnnouncement {
	var taken, others []unconfirmedAnnouncement
	for _, a := range c.endpoint.unconfirmed {
		if a.Boot == boot {
			taken = append(taken, a)
		} else {
			others = append(others, a)
		}
	}
	c.endpoint.unconfirmed = others
	return taken
}

func (a *unconfirmedAnnouncement) answer(err error) {
	if a.handled != nil {
		a.handled <- err
	}
}

// useStoredAnnouncement handles the announcement stored by an earlier incarnation of this
// agent, if the endpoint has not announced itself since and has answered from the same
// boot.
func (c *agentControl) useStoredAnnouncement() []agentEffect {
	e := c.endpoint
	if !e.announcedAt.IsZero() || e.stored.Boot.Born == 0 || e.stored.Boot.Born != e.state.Boot.Born {
		return nil
	}
	c.logger.Info("using the endpoint announcement stored by an earlier incarnation", zap.String("endpoint", e.stored.Boot.ID),
		zap.Int64("born", e.stored.Boot.Born), zap.Bool("departing", e.stored.Departing))
	return c.handleAnnouncement(e.stored, nil)
}

// forwardAnnouncement forwards the last announcement to the gatekeeper. An announcement
// that is not a departure is forwarded only while the endpoint is ready, only within
// announcementLifetime, and only if it is one of the boot that answers: the next boot may
// have another capacity.
func (c *agentControl) forwardAnnouncement(now time.Time) []agentEffect {
	e := c.endpoint
	switch {
	case e.announcement.Departing:
		return gatekeeperEffects(c.state.Handle(now, gatekeeper.EndpointDeparting{}))
	case !e.state.IsReady() || time.Since(e.announcedAt) > announcementLifetime:
		return nil
	case e.announcement.Boot.Born != e.state.Boot.Born:
		return nil
	}
	return gatekeeperEffects(c.state.Handle(now, gatekeeper.EndpointAnnounced{
		Service: e.announcement.Service, Slots: e.announcement.Slots, Labels: e.announcement.Labels, Capacity: e.announcement.Capacity,
		Boot: e.announcement.Boot.Born,
	}))
}

func (c *agentControl) invoke(e gatekeeper.Invoke) bool {
	if c.endpoint == nil {
		c.invocations.start(e)
		return false
	}
	return c.executeAll(endpointEffects(c.endpoint.state.Handle(time.Now(), supervisor.Invoke{
		Task: e.Task, Run: supervisor.RunOf(e.Task, e.Position, e.Run), Payload: e.Payload,
	})))
}

func (c *agentControl) abort(e gatekeeper.Abort) bool {
	c.logger.Info("aborting run",
		zap.Stringer("task", e.Task), zap.Int("run", e.Run), zap.String("reason", e.Reason))
	if c.endpoint == nil {
		return false
	}
	return c.executeAll(endpointEffects(c.endpoint.state.Handle(time.Now(), supervisor.Abort{
		Run: supervisor.RunOf(e.Task, e.Position, e.Run),
	})))
}

func (c *agentControl) executeAll(effects []agentEffect) bool {
	end := false
	for _, effect := range effects {
		if c.execute(effect) {
			end = true
		}
	}
	return end
}

func (c *agentControl) executeEndpoint(effect supervisor.Effect) bool {
	now := c.clock.now()
	switch e := effect.(type) {
	case supervisor.Ended:
		c.logRunEnded(e)
		return c.executeAll(gatekeeperEffects(c.state.Handle(now, gatekeeper.Invoked{
			Task: e.Task, Run: e.Run.Number, Outcome: e.Outcome, RunTime: e.RunTime,
		})))
	case supervisor.Ready:
		c.logger.Info("endpoint is ready for tasks",
			zap.String("endpoint", e.Boot.ID), zap.String("address", e.Boot.Address), zap.Int64("born", e.Boot.Born))
		c.link()
		return c.executeAll(append(c.useStoredAnnouncement(), c.forwardAnnouncement(now)...))
	case supervisor.Unready:
		c.logger.Warn("endpoint is not ready; refusing new tasks", zap.String("reason", e.Reason))
		return c.executeAll(gatekeeperEffects(c.state.Handle(now, gatekeeper.EndpointDeparting{})))
	case supervisor.Confirmed:
		return c.executeAll(c.useAnnouncements(e.Boot))
	case supervisor.Unconfirmed:
		c.dropAnnouncements(e)
	case supervisor.LogMessage:
		c.logger.Info(e.Message,
			zap.String("job", e.Run.Job), zap.Int("step", e.Run.Position.Step), zap.Int("index", e.Run.Position.Index),
			zap.Int("run", e.Run.Number), zap.String("reason", e.Reason), zap.Duration("age", e.Age))
	default:
		c.endpoint.endpointCalls.Execute(effect)
	}
	return false
}

func (c *agentControl) logRunEnded(e supervisor.Ended) {
	c.logger.Info("run ended",
		zap.Stringer("task", e.Task), zap.Int("run", e.Run.Number),
		zap.String("state", string(e.Outcome.State)), zap.String("reason", e.Outcome.Reason),
		zap.Duration("run_time", e.RunTime))
}

// link dials the known entries. It does nothing while the endpoint may still execute runs
// of an earlier incarnation of the agent, because entries take a link from the new
// incarnation as proof that those runs have ended.
func (c *agentControl) link() {
	if c.endpoint != nil && !c.endpoint.state.PreviousRunsEnded() {
		return
	}
	if c.endpoint != nil {
		c.endpoint.linked = true
	}
	c.transport.SetTargets(c.entries)
}

// linkAfterLeases dials the entries once the leases of earlier incarnations have expired,
// even if the endpoint has not answered.
func (c *agentControl) linkAfterLeases() {
	if !c.endpoint.linked && c.endpoint.state.PreviousRunsEnded() {
		c.link()
	}
}

func gatekeeperEffects(effects []gatekeeper.Effect) []agentEffect {
	converted := make([]agentEffect, 0, len(effects))
	for _, e := range effects {
		converted = append(converted, agentEffect{gatekeeper: e})
	}
	return converted
}

func endpointEffects(effects []supervisor.Effect) []agentEffect {
	converted := make([]agentEffect, 0, len(effects))
	for _, e := range effects {
		converted = append(converted, agentEffect{endpoint: e})
	}
	return converted
}
