// Package starter holds the commands that run the daemons and the proof tools.
package starter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/daemon/launcher"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/invoker"
	"github.com/burdockrudder/burdockrudder/internal/platform/storer"
	"github.com/burdockrudder/burdockrudder/internal/settings/parser"
	"github.com/burdockrudder/burdockrudder/internal/transport/linker"
)

// tableTimeout bounds one call of the table service.
const tableTimeout = 2 * time.Second

// dialTimeout bounds connecting to the endpoint, which is on the same host.
const dialTimeout = time.Second

// metricsPatience bounds the stop of the metrics server.
const metricsPatience = time.Second

// Commands returns the commands beside the operators' ones.
func Commands() []*cobra.Command {
	return []*cobra.Command{entryCommand(), agentCommand(), replayCommand(), certificatesCommand(), demoCommand(), responseCommand()}
}

func entryCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry: admit, place and answer, and serve operators",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config, err := readConfig(path, launcher.EntryDefaults())
			if err != nil {
				return err
			}
			return runEntry(cmd.Context(), config)
		},
	}
	addConfigFlag(command, &path)
	return command
}

func agentCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "agent",
		Short: "Run an agent beside an endpoint",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config, err := readConfig(path, launcher.AgentDefaults())
			if err != nil {
				return err
			}
			return runAgent(cmd.Context(), config)
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

// readConfig reads a daemon's settings file and reports all findings together.
func readConfig[T any](path string, defaults T) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return defaults, fmt.Errorf("read settings file: %w", err)
	}
	config, findings := parser.ParseInto(path, data, defaults)
	return config, parser.Join(findings)
}

func runEntry(ctx context.Context, config launcher.EntryConfig) error {
	logger, err := launcher.NewLogger(config.Log)
	if err != nil {
		return err
	}
	tlsConfig, err := config.TLS.Load()
	if err != nil {
		return fmt.Errorf("load link certificates: %w", err)
	}
	incarnation, err := launcher.NewIncarnation(config.Name)
	if err != nil {
		return err
	}
	metrics := launcher.NewMetrics("entry", config.Name)
	defer metrics.Close()
	entry := &launcher.Entry{
		Config:      config,
		Incarnation: incarnation,
		Seed:        rand.Uint64(),
		Table: &storer.Client{
			BaseURL: config.PlatformURL, HTTP: &http.Client{}, Timeout: tableTimeout,
		},
		Logger:  logger,
		Scope:   metrics.Scope,
		Metrics: metrics.Handler,
		Transport: func(handler launcher.Handler) launcher.Transport {
			return &linker.Transport{
				Hello:   messenger.Hello{Role: messenger.RoleEntry, Name: config.Name, Incarnation: incarnation},
				Listen:  config.Listen,
				TLS:     tlsConfig,
				Handler: handler,
				Logger:  logger,
				Metrics: metrics.Scope,
			}
		},
	}
	return withMetrics(ctx, config.MetricsListen, metrics.Handler, entry.Run)
}

func runAgent(ctx context.Context, config launcher.AgentConfig) error {
	logger, err := launcher.NewLogger(config.Log)
	if err != nil {
		return err
	}
	tlsConfig, err := config.TLS.Load()
	if err != nil {
		return fmt.Errorf("load link certificates: %w", err)
	}
	incarnation, err := launcher.NewIncarnation(config.Name)
	if err != nil {
		return err
	}
	endpoint := &invoker.HTTP{BaseURL: config.EndpointURL, DialTimeout: dialTimeout}
	endpoint.Prepare()
	defer endpoint.Close()
	metrics := launcher.NewMetrics("agent", config.Name)
	defer metrics.Close()
	agent := &launcher.Agent{
		Config:      config,
		Incarnation: incarnation,
		Endpoint:    endpoint,
		Logger:      logger,
		Scope:       metrics.Scope,
	}
	agent.Transport = func(handler launcher.Handler) launcher.Transport {
		return &linker.Transport{
			Hello: agent.Hello(), TLS: tlsConfig, Handler: handler, Logger: logger, Metrics: metrics.Scope,
		}
	}
	return withMetrics(ctx, config.MetricsListen, metrics.Handler, agent.Run)
}

// withMetrics runs a daemon beside a server for /metrics, if there is an address.
func withMetrics(ctx context.Context, address string, handler http.Handler, daemon func(context.Context) error) error {
	if address == "" {
		return daemon(ctx)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	metrics := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: metricsPatience}
	var group errgroup.Group
	group.Go(func() error {
		if err := metrics.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			zap.L().Error("metrics server", zap.Error(err))
			return fmt.Errorf("serve metrics: %w", err)
		}
		return nil
	})
	group.Go(func() error {
		defer closeServer(metrics)
		return daemon(ctx)
	})
	return group.Wait()
}

func closeServer(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), metricsPatience)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close()
	}
}
