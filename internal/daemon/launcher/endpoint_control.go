package launcher

import (
	"time"

	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/edge/supervisor"
)

// announcementLifetime is how long an announcement can be taken up again after
// the endpoint was not followed for a while.
const announcementLifetime = 3 * time.Second

// LeasedEndpoint is an endpoint that holds its tasks under a lease. Its fields are
// set before the agent runs.
type LeasedEndpoint struct {
	Orders supervisor.Endpoint
	// Address is where the endpoint takes orders before it has announced itself.
	Address string
	// Token is the first fencing token; it exceeds those of earlier lives.
	Token uint64
	// Lease is the longest lease that the endpoint grants.
	Lease time.Duration
}

// AnnouncementSink takes the announcements of a leased endpoint. When it returns,
// the gate acts on the announcement. An error means that a later life of the agent
// might not: the announcement is not to be confirmed.
type AnnouncementSink interface {
	EndpointAnnounced(announcement supervisor.Announcement) error
}

// endpointControl is the part of an agent's control that follows a leased endpoint.
type endpointControl struct {
	state  *supervisor.State
	caller *supervisor.Caller
	// last is the last announcement, and lastAt when it came.
	last   supervisor.Announcement
	lastAt time.Time
	// recalled is what an earlier life of this agent has kept. It counts once the
	// endpoint has answered from the same boot.
	recalled supervisor.Announcement
	archive  *endpointArchive
	// linked is true once the entries may be dialed.
	linked bool
}

func (c *agentControl) supervise(leased *LeasedEndpoint) {
	caller := &supervisor.Caller{
		Endpoint: leased.Orders,
		Deliver:  func(e supervisor.Event) { c.loop.post(agentEvent{endpoint: e}) },
	}
	caller.Prepare()
	c.endpoint = &endpointControl{
		state: &supervisor.State{
			Token:      leased.Token,
			Lease:      leased.Lease,
			LeaseBound: func(longest time.Duration) time.Duration { return c.state.LeaseBound(c.clock.now(), longest) },
			Boot:       supervisor.Boot{Address: leased.Address},
		},
		caller: caller,
	}
}

// EndpointAnnounced implements AnnouncementSink.
func (c *agentControl) EndpointAnnounced(announcement supervisor.Announcement) error {
	taken := make(chan struct{})
	c.loop.post(agentEvent{announced: &announcement, taken: taken})
	select {
	case <-taken:
	case <-c.loop.stopped:
	}
	if c.endpoint.archive == nil {
		return nil
	}
	return c.endpoint.archive.announced(announcement)
}

// takeAnnouncement passes an announcement on to the gate if the endpoint can be
// followed. A gate that opens earlier would take tasks that cannot be ordered.
func (c *agentControl) takeAnnouncement(now time.Time, a supervisor.Announcement) []agentEffect {
	e := c.endpoint
	e.last, e.lastAt = a, time.Now()
	effects := endpointEffects(e.state.Handle(time.Now(), supervisor.Announced{Boot: a.Boot}))
	return append(effects, c.announce(now)...)
}

// recall takes up what an earlier life of this agent has kept, if the endpoint has
// not announced itself since and has answered from the same boot.
func (c *agentControl) recall(now time.Time) []agentEffect {
	e := c.endpoint
	if !e.lastAt.IsZero() || e.recalled.Boot.Born == 0 || e.recalled.Boot.Born != e.state.Boot.Born {
		return nil
	}
	c.logger.Info("announcement of an earlier life is taken up", zap.String("endpoint", e.recalled.Boot.ID),
		zap.Int64("born", e.recalled.Boot.Born), zap.Bool("departing", e.recalled.Departing))
	return c.takeAnnouncement(now, e.recalled)
}

// announce tells the gate what the last announcement said.
func (c *agentControl) announce(now time.Time) []agentEffect {
	e := c.endpoint
	switch {
	case e.last.Departing:
		return gateEffects(c.state.Handle(now, gatekeeper.EndpointDeparting{}))
	case !e.state.IsReady() || time.Since(e.lastAt) > announcementLifetime:
		return nil
	}
	return gateEffects(c.state.Handle(now, gatekeeper.EndpointAnnounced{
		Service: e.last.Service, Slots: e.last.Slots, Labels: e.last.Labels, Capacity: e.last.Capacity,
	}))
}

func (c *agentControl) invoke(e gatekeeper.Invoke) bool {
	if c.endpoint == nil {
		c.invocations.start(e)
		return false
	}
	return c.carryOutAll(endpointEffects(c.endpoint.state.Handle(time.Now(), supervisor.Invoke{
		Task: e.Task, Run: supervisor.RunOf(e.Task, e.Position, e.Run), Payload: e.Payload,
	})))
}

func (c *agentControl) abort(e gatekeeper.Abort) bool {
	c.logger.Info("run is ended",
		zap.Stringer("task", e.Task), zap.Int("run", e.Run), zap.String("reason", e.Reason))
	if c.endpoint == nil {
		return false
	}
	return c.carryOutAll(endpointEffects(c.endpoint.state.Handle(time.Now(), supervisor.Abort{
		Run: supervisor.RunOf(e.Task, e.Position, e.Run),
	})))
}

func (c *agentControl) carryOutAll(effects []agentEffect) bool {
	end := false
	for _, effect := range effects {
		if c.carryOut(effect) {
			end = true
		}
	}
	return end
}

func (c *agentControl) carryOutEndpoint(effect supervisor.Effect) bool {
	now := c.clock.now()
	switch e := effect.(type) {
	case supervisor.Ended:
		c.logEnd(e)
		return c.carryOutAll(gateEffects(c.state.Handle(now, gatekeeper.Invoked{
			Task: e.Task, Run: e.Run.Number, Outcome: e.Outcome, RunTime: e.RunTime,
		})))
	case supervisor.Ready:
		c.logger.Info("endpoint is followed",
			zap.String("endpoint", e.Boot.ID), zap.String("address", e.Boot.Address), zap.Int64("born", e.Boot.Born))
		c.link()
		return c.carryOutAll(append(c.recall(now), c.announce(now)...))
	case supervisor.Unready:
		c.logger.Warn("endpoint is not followed", zap.String("reason", e.Reason))
		return c.carryOutAll(gateEffects(c.state.Handle(now, gatekeeper.EndpointDeparting{})))
	case supervisor.LogMessage:
		c.logger.Info(e.Message,
			zap.String("job", e.Run.Job), zap.Int("step", e.Run.Position.Step), zap.Int("index", e.Run.Position.Index),
			zap.Int("run", e.Run.Number), zap.String("reason", e.Reason), zap.Duration("age", e.Age))
	default:
		c.endpoint.caller.Execute(effect)
	}
	return false
}

func (c *agentControl) logEnd(e supervisor.Ended) {
	c.logger.Info("run has ended",
		zap.Stringer("task", e.Task), zap.Int("run", e.Run.Number),
		zap.String("state", string(e.Outcome.State)), zap.String("reason", e.Outcome.Reason),
		zap.Duration("run_time", e.RunTime))
}

// link dials the known entries. An agent whose endpoint may still run what a
// former life has ordered stays unknown: its new incarnation is taken as proof
// that those runs have ended.
func (c *agentControl) link() {
	if c.endpoint != nil && !c.endpoint.state.PreviousRunsEnded() {
		return
	}
	if c.endpoint != nil {
		c.endpoint.linked = true
	}
	c.transport.SetTargets(c.entries)
}

// linkLate links once the leases of a former life are over although the endpoint
// has not answered.
func (c *agentControl) linkLate() {
	if !c.endpoint.linked && c.endpoint.state.PreviousRunsEnded() {
		c.link()
	}
}

func gateEffects(effects []gatekeeper.Effect) []agentEffect {
	converted := make([]agentEffect, 0, len(effects))
	for _, e := range effects {
		converted = append(converted, agentEffect{gate: e})
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
