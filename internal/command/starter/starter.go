// Package starter holds the commands that run the daemons, create certificates, replay
// traces, measure response times in a simulation and run the demo.
package starter

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/daemon/launcher"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/guard"
	"github.com/burdockrudder/burdockrudder/internal/edge/invoker"
	"github.com/burdockrudder/burdockrudder/internal/settings/parser"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
	"github.com/burdockrudder/burdockrudder/internal/transport/authenticator"
	"github.com/burdockrudder/burdockrudder/internal/transport/linker"
)

// tableTimeout bounds one call to the table service.
const tableTimeout = 2 * time.Second

// dialTimeout bounds connecting to the endpoint, which is on the same host.
const dialTimeout = time.Second

// Commands returns the commands of this package, which are added to the operators'
// commands.
func Commands() []*cobra.Command {
	return []*cobra.Command{entryCommand(), agentCommand(), replayCommand(), certificatesCommand(), demoCommand(), responseCommand(), reportCommand()}
}

func entryCommand() *cobra.Command {
	return daemonCommand("entry", "Run an entry: admit, place and answer, and serve operators", launcher.EntryDefaults(), runEntry)
}

func agentCommand() *cobra.Command {
	return daemonCommand("agent", "Run an agent beside an endpoint", launcher.AgentDefaults(), runAgent)
}

// daemonCommand returns a command that reads the settings file of a daemon and runs the
// daemon.
func daemonCommand[T any](use, short string, defaults T, run func(context.Context, T) error) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config, err := parser.ReadInto(path, defaults)
			if err != nil {
				return err
			}
			return run(cmd.Context(), config)
		},
	}
	addConfigFlag(command, &path)
	return command
}

func addConfigFlag(command *cobra.Command, path *string) {
	command.Flags().StringVar(path, "config", "", "settings file of the daemon, JSON with comments")
	if err := command.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
}

// process holds what entries and agents have in common: logging, metrics, the TLS
// configuration and reset secret of the links, and the incarnation.
type process struct {
	logger      *zap.Logger
	tls         *tls.Config
	resetSecret []byte
	incarnation messenger.Incarnation
	metrics     *launcher.Metrics
	sink        *launcher.LogSink
	guard       *guard.Guard
}

func newProcess(
	role messenger.Role, name string, log launcher.LogConfig, files authenticator.Files, bounds guard.Settings,
) (*process, error) {
	sink := &launcher.LogSink{Output: os.Stdout}
	logger, err := launcher.NewLogger(log, sink)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := files.Load()
	if err != nil {
		return nil, fmt.Errorf("load link certificates: %w", err)
	}
	resetSecret, err := authenticator.ResetSecret(tlsConfig)
	if err != nil {
		return nil, err
	}
	incarnation, err := launcher.NewIncarnation(name)
	if err != nil {
		return nil, err
	}
	bounds.ApplyMemoryLimit()
	metrics := launcher.NewMetrics(string(role), name)
	return &process{
		logger: logger, tls: tlsConfig, resetSecret: resetSecret, incarnation: incarnation,
		metrics: metrics, sink: sink,
		guard: &guard.Guard{Settings: bounds, Logger: logger, Scope: metrics.Scope},
	}, nil
}

// transport returns a function that builds the QUIC transport of the process.
func (p *process) transport(hello messenger.Hello, listen string) func(launcher.Handler) launcher.Transport {
	return func(handler launcher.Handler) launcher.Transport {
		return &linker.Transport{
			Hello: hello, Listen: listen, TLS: p.tls, ResetSecret: p.resetSecret, Handler: handler,
			MaxHandshakes: p.guard.Settings.MaxHandshakes, Logger: p.logger, Metrics: p.metrics.Scope,
		}
	}
}

func runEntry(ctx context.Context, config launcher.EntryConfig) error {
	p, err := newProcess(messenger.RoleEntry, config.Name, config.Log, config.TLS, config.Guard)
	if err != nil {
		return err
	}
	defer p.metrics.Close()
	httpTLS, err := loadHTTPTLS(config.HTTPTLS)
	if err != nil {
		return err
	}
	hello := messenger.Hello{Role: messenger.RoleEntry, Name: config.Name, Incarnation: p.incarnation}
	entry := &launcher.Entry{
		Config:      config,
		Incarnation: p.incarnation,
		Seed:        rand.Uint64(),
		Table: &storer.Client{
			BaseURL: config.PlatformURL, HTTP: &http.Client{}, Timeout: tableTimeout,
		},
		Transport: p.transport(hello, config.Listen),
		HTTPTLS:   httpTLS,
		Guard:     p.guard,
		Logger:    p.logger,
		Scope:     p.metrics.Scope,
		Metrics:   p.metrics.Handler,
	}
	return p.run(ctx, config.MetricsListen, entry.Run)
}

// loadHTTPTLS returns nil if callers and operators are served without TLS.
func loadHTTPTLS(files *launcher.HTTPCertificate) (*tls.Config, error) {
	if files == nil {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fmt.Errorf("load HTTP certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

func runAgent(ctx context.Context, config launcher.AgentConfig) error {
	p, err := newProcess(messenger.RoleAgent, config.Name, config.Log, config.TLS, config.Guard)
	if err != nil {
		return err
	}
	defer p.metrics.Close()
	endpoint := &invoker.HTTP{BaseURL: config.EndpointURL, DialTimeout: dialTimeout}
	endpoint.Prepare()
	defer endpoint.Close()
	agent := &launcher.Agent{
		Config:      config,
		Incarnation: p.incarnation,
		Endpoint:    endpoint,
		Guard:       p.guard,
		Logger:      p.logger,
		Scope:       p.metrics.Scope,
	}
	agent.Transport = p.transport(agent.Hello(), "")
	return p.run(ctx, config.MetricsListen, agent.Run)
}

// run runs a daemon together with its log sink and its metrics server.
func (p *process) run(ctx context.Context, metricsAddress string, daemon func(context.Context) error) error {
	return launcher.WithLog(ctx, p.sink, func(ctx context.Context) error {
		return launcher.WithMetrics(ctx, metricsAddress, p.metrics.Handler, p.guard, daemon)
	})
}
