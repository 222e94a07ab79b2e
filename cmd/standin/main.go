// Command standin runs the stand-ins for the platform and for an endpoint.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/standin/executor"
	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
)

const stopTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	root := &cobra.Command{Use: "standin", Short: "Stand-ins for the platform and the endpoints", SilenceUsage: true}
	root.AddCommand(platformCommand(), endpointCommand())
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	table := &tableserver.Table{}
	var listen string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Serve an in-memory table service",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return servePlatform(command.Context(), listen, table)
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7400", "address to listen on")
	flags.DurationVar(&table.WriteLatency, "write-latency", 4*time.Millisecond, "time of a synced write")
	flags.DurationVar(&table.ReadLatency, "read-latency", time.Millisecond, "time of a read")
	flags.Float64Var(&table.Jitter, "jitter", 0.1, "fraction by which latencies vary")
	flags.Float64Var(&table.WritesPerSecond, "writes-per-second", 300, "limit of transactions")
	flags.Float64Var(&table.ReadsPerSecond, "reads-per-second", 2000, "limit of reads")
	flags.Uint64Var(&table.Seed, "seed", 1, "seed of jitter and faults")
	return command
}

func servePlatform(ctx context.Context, listen string, table *tableserver.Table) error {
	server := &http.Server{Addr: listen, Handler: table.Handler(), ReadHeaderTimeout: stopTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve platform: %w", err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		return server.Shutdown(shutdownCtx)
	})
	return group.Wait()
}

func endpointCommand() *cobra.Command {
	endpoint := &executor.Endpoint{}
	var listen string
	command := &cobra.Command{
		Use:   "endpoint",
		Short: "Serve an endpoint that runs tasks",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			listener, err := net.Listen("tcp", listen)
			if err != nil {
				return fmt.Errorf("listen: %w", err)
			}
			return endpoint.Run(command.Context(), listener)
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7500", "address to listen on")
	flags.StringVar(&endpoint.Agent, "agent", "", "base URL of the agent")
	flags.StringVar(&endpoint.Service, "service", "dispatch", "service that is offered")
	flags.IntVar(&endpoint.Slots, "slots", 8, "tasks that may run at a time")
	flags.IntVar(&endpoint.Connections, "connections", 64, "connections that may be open")
	flags.Float64Var(&endpoint.Speed, "speed", 1, "divides the run times")
	flags.StringSliceVar(&endpoint.Labels, "labels", nil, "labels that are offered")
	return command
}
