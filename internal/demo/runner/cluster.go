package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/daemon/launcher"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/invoker"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
	"github.com/burdockrudder/burdockrudder/internal/settings/versioner"
	"github.com/burdockrudder/burdockrudder/internal/standin/executor"
	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
	"github.com/burdockrudder/burdockrudder/internal/transport/authenticator"
	"github.com/burdockrudder/burdockrudder/internal/transport/linker"
)

// The stand-in of the table service has the limits of the platform's: several ms
// for a synced write, several hundred writes and about 2,000 reads a second.
const (
	writeLatency    = 4 * time.Millisecond
	readLatency     = time.Millisecond
	latencyJitter   = 0.3
	writesPerSecond = 400
	readsPerSecond  = 2000
	tableTimeout    = time.Second
	// journalWritesPerSecond is each entry's part of the write budget.
	journalWritesPerSecond = 120

	callerSecret        = "demo-caller"
	operatorSecret      = "demo-operator"
	readyPollInterval   = 20 * time.Millisecond
	certificateLifetime = 24 * time.Hour
	// maxIdleConnections exceeds the number of concurrent calls of a process.
	maxIdleConnections = 256
)

// cluster holds all processes of a demo. They run inside this process.
type cluster struct {
	deployment Deployment
	seed       uint64
	traceDir   string
	logger     *zap.Logger
	network    network
	// http is the client for calls to the table service and for announcements.
	http      *http.Client
	authority *authenticator.Authority
	table     *tableserver.Table
	tableURL  string
	entries   []*entryProcess
	agents    []*agentProcess
	group     *errgroup.Group
	servers   []*http.Server
}

// entryProcess is one entry with the parts through which the demo injects faults.
type entryProcess struct {
	isolation *isolation
	entry     *launcher.Entry
	transport *linker.Transport
	scope     tally.TestScope
	url       string
	stop      context.CancelFunc
}

// agentProcess is one agent and its endpoint.
type agentProcess struct {
	isolation *isolation
	agent     *launcher.Agent
	executor  *executor.Endpoint
	observed  *observations
	scope     tally.TestScope
	stop      context.CancelFunc
}

// startCluster starts the table service, the entries and the agents, and waits until
// every entry is active and has every endpoint in service.
func startCluster(ctx context.Context, c *cluster) (*cluster, error) {
	authority, err := authenticator.NewAuthority("demo", certificateLifetime)
	if err != nil {
		return nil, err
	}
	c.authority = authority
	c.http = c.httpClient()
	if err := c.startPlatform(ctx); err != nil {
		return nil, err
	}
	for i := range c.deployment.Entries {
		if err := c.startEntry(ctx, fmt.Sprintf("entry-%d", i+1)); err != nil {
			return nil, err
		}
	}
	for i := range c.deployment.Endpoints {
		if err := c.startAgent(ctx, i); err != nil {
			return nil, err
		}
	}
	return c, c.awaitReady(ctx)
}

func (c *cluster) startPlatform(ctx context.Context) error {
	c.table = &tableserver.Table{
		WriteLatency:    writeLatency,
		ReadLatency:     readLatency,
		Jitter:          latencyJitter,
		WritesPerSecond: writesPerSecond,
		ReadsPerSecond:  readsPerSecond,
		Seed:            c.seed,
	}
	listener, err := c.network.listen()
	if err != nil {
		return err
	}
	platform := &http.Server{Handler: c.table.Handler(), ReadHeaderTimeout: tableTimeout}
	c.servers = append(c.servers, platform)
	c.group.Go(func() error {
		if err := platform.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve platform: %w", err)
		}
		return nil
	})
	c.tableURL = "http://" + listener.Addr().String()
	settings := &versioner.Store{Table: c.table}
	_, err = settings.Change(ctx, versioner.Edit{Author: "demo", Reason: "first settings", Tree: c.tree()})
	return err
}

// tree returns the settings of the deployment, with the keys of one caller and one
// operator.
func (c *cluster) tree() resolver.Tree {
	place := resolver.Place{FailureDomains: make(map[string]resolver.FailureDomain)}
	for _, domain := range c.deployment.Domains {
		place.FailureDomains[domain] = resolver.FailureDomain{
			Services: map[string]resolver.Service{c.deployment.Service: {}},
		}
	}
	return resolver.Tree{Firms: map[string]resolver.Firm{c.deployment.Firm: {
		Keys: []resolver.Key{
			{Name: "caller", Role: resolver.RoleCaller, Team: "desk", SecretSHA256: authenticator.HashKey(callerSecret).String()},
			{Name: "operator", Role: resolver.RoleOperator, SecretSHA256: authenticator.HashKey(operatorSecret).String()},
		},
		Teams:  map[string]resolver.Team{"desk": {Weight: 1}},
		Places: map[string]resolver.Place{c.deployment.Place: place},
	}}}
}

func (c *cluster) startEntry(ctx context.Context, name string) error {
	incarnation, err := launcher.NewIncarnation(name)
	if err != nil {
		return err
	}
	tlsConfig, err := c.authority.Config(authenticator.Identity{Name: name, Role: string(messenger.RoleEntry)}, net.IPv4(127, 0, 0, 1))
	if err != nil {
		return err
	}
	listener, err := c.network.listen()
	if err != nil {
		return err
	}
	socket, err := c.network.listenPacket()
	if err != nil {
		return err
	}
	address := socket.LocalAddr().String()
	p := &entryProcess{isolation: &isolation{}, scope: tally.NewTestScope("", nil), url: "http://" + listener.Addr().String()}
	p.isolation.onCrash(func() { _ = listener.Close() })
	p.transport = &linker.Transport{
		Hello:   messenger.Hello{Role: messenger.RoleEntry, Name: name, Incarnation: incarnation},
		Listen:  address,
		Socket:  socket,
		TLS:     tlsConfig,
		Logger:  c.logger,
		Metrics: p.scope,
		Delay:   c.delay,
	}
	p.entry = &launcher.Entry{
		Config:       c.entryConfig(name, address),
		Incarnation:  incarnation,
		Seed:         c.seed,
		Table:        isolatedTable{Table: &storer.Client{BaseURL: c.tableURL, HTTP: c.http, Timeout: tableTimeout}, isolation: p.isolation},
		HTTPListener: isolatedListener{Listener: listener, isolation: p.isolation},
		Logger:       c.logger.Named(name),
		Scope:        p.scope,
		Transport: func(handler launcher.Handler) launcher.Transport {
			p.transport.Handler = isolatedHandler{Handler: handler, isolation: p.isolation}
			return isolatedTransport{Transport: p.transport, isolation: p.isolation}
		},
	}
	c.entries = append(c.entries, p)
	p.stop = c.run(ctx, p.isolation, p.entry.Run)
	return nil
}

func (c *cluster) entryConfig(name, address string) launcher.EntryConfig {
	config := launcher.EntryDefaults()
	config.Name = name
	config.Listen = address
	config.JournalWritesPerSecond = journalWritesPerSecond
	if c.traceDir != "" {
		config.TraceFile = filepath.Join(c.traceDir, name+".jsonl")
	}
	return config
}

// run starts a daemon. The error of a daemon that a fault has crashed is ignored.
func (c *cluster) run(ctx context.Context, i *isolation, daemon func(context.Context) error) context.CancelFunc {
	own, stop := context.WithCancel(context.WithoutCancel(ctx))
	c.group.Go(func() error {
		if err := daemon(own); err != nil && !i.crashed.Load() {
			return err
		}
		return nil
	})
	return stop
}

func (c *cluster) startAgent(ctx context.Context, number int) error {
	name := fmt.Sprintf("agent-%02d", number+1)
	incarnation, err := launcher.NewIncarnation(name)
	if err != nil {
		return err
	}
	tlsConfig, err := c.authority.Config(authenticator.Identity{Name: name, Role: string(messenger.RoleAgent)})
	if err != nil {
		return err
	}
	endpoint, err := c.network.listen()
	if err != nil {
		return err
	}
	announce, err := c.network.listen()
	if err != nil {
		return err
	}
	socket, err := c.network.listenPacket()
	if err != nil {
		return err
	}
	p := &agentProcess{isolation: &isolation{}, scope: tally.NewTestScope("", nil), observed: &observations{}}
	p.executor = c.newExecutor(number, p.observed, "http://"+announce.Addr().String())
	client := &invoker.HTTP{BaseURL: "http://" + endpoint.Addr().String(), DialTimeout: tableTimeout, Dial: c.network.dial}
	client.Prepare()
	p.agent = &launcher.Agent{
		Config:           c.agentConfig(name, number),
		Incarnation:      incarnation,
		Endpoint:         client,
		AnnounceListener: announce,
		Logger:           c.logger.Named(name),
		Scope:            p.scope,
	}
	p.agent.Transport = func(handler launcher.Handler) launcher.Transport {
		transport := &linker.Transport{
			Hello:   p.agent.Hello(),
			Socket:  socket,
			TLS:     tlsConfig,
			Handler: isolatedHandler{Handler: handler, isolation: p.isolation},
			Logger:  c.logger,
			Metrics: p.scope,
			Delay:   c.delay,
		}
		return isolatedTransport{Transport: transport, isolation: p.isolation}
	}
	c.agents = append(c.agents, p)
	stopAgent := c.run(ctx, p.isolation, p.agent.Run)
	stopExecutor := c.run(ctx, p.isolation, func(ctx context.Context) error { return p.executor.Run(ctx, endpoint) })
	p.stop = func() {
		stopAgent()
		stopExecutor()
	}
	return nil
}

func (c *cluster) agentConfig(name string, number int) launcher.AgentConfig {
	config := launcher.AgentDefaults()
	config.Name = name
	config.Firm = c.deployment.Firm
	config.Place = c.deployment.Place
	config.FailureDomain = c.deployment.domain(number)
	for _, e := range c.entries {
		config.Entries = append(config.Entries, e.entry.Config.Listen)
	}
	return config
}

// httpClient returns a client over the cluster's network.
func (c *cluster) httpClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: c.network.dial, MaxIdleConnsPerHost: maxIdleConnections}}
}

// delay returns the one-way delay between entries and agents.
func (c *cluster) delay(messenger.Hello) time.Duration {
	return c.deployment.DomainDelay
}

// awaitReady waits until every entry is active and every endpoint has confirmed settings.
func (c *cluster) awaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		reason := c.notReadyReason()
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the cluster: %s: %w", reason, context.Cause(ctx))
		case <-ticker.C:
		}
	}
}

// notReadyReason returns why the cluster is not ready; empty if it is ready.
func (c *cluster) notReadyReason() string {
	for _, e := range c.entries {
		name, view := e.entry.Config.Name, e.entry.Snapshot()
		switch {
		case view == nil:
			return name + " has not started"
		case view.LifeCycle != "active":
			return fmt.Sprintf("%s is %s", name, view.LifeCycle)
		case len(view.Endpoints) < c.deployment.Endpoints:
			return fmt.Sprintf("%s knows %d of %d endpoints", name, len(view.Endpoints), c.deployment.Endpoints)
		case len(view.Directory) < c.deployment.Entries:
			return fmt.Sprintf("%s knows %d of %d entries", name, len(view.Directory), c.deployment.Entries)
		case view.AcceptRefusal != "":
			return fmt.Sprintf("%s accepts no changes: %s", name, view.AcceptRefusal)
		}
		for _, endpoint := range view.Endpoints {
			if endpoint.State != "in" || endpoint.SettingsVersion < view.SettingsVersion {
				return fmt.Sprintf("%s sees endpoint %s as %s with settings %d of %d",
					name, endpoint.Name, endpoint.State, endpoint.SettingsVersion, view.SettingsVersion)
			}
		}
	}
	return ""
}

// muteLinks mutes the links between the first entry and the first agents, up to
// count. Links that are opened later work.
func (c *cluster) muteLinks(count int) {
	for i := range min(count, len(c.agents)) {
		c.entries[0].transport.Mute(c.agents[i].agent.Incarnation)
	}
}

// stop begins the graceful stop of all daemons and shuts down the HTTP servers. It
// does not wait for the daemons, since crashed ones do not stop.
func (c *cluster) stop(ctx context.Context) {
	for _, e := range c.entries {
		e.stop()
	}
	for _, a := range c.agents {
		a.stop()
	}
	for _, s := range c.servers {
		_ = s.Shutdown(ctx)
	}
}
