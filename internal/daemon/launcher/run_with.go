package launcher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/edge/guard"
)

// metricsServerTimeout limits reading the header of a metrics request and stopping the
// server.
const metricsServerTimeout = time.Second

// WithLog runs a daemon and its log sink. The sink is flushed after the daemon has
// returned.
func WithLog(ctx context.Context, sink *LogSink, daemon func(context.Context) error) error {
	logCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return sink.Run(logCtx) })
	err := daemon(ctx)
	stop()
	return errors.Join(err, group.Wait())
}

// WithMetrics runs a daemon and, unless address is empty, a server for /metrics that the
// guard bounds.
func WithMetrics(
	ctx context.Context, address string, handler http.Handler, bounds *guard.Guard, daemon func(context.Context) error,
) error {
	if address == "" {
		return daemon(ctx)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	metrics := &http.Server{Handler: mux, ReadHeaderTimeout: metricsServerTimeout}
	var group errgroup.Group
	group.Go(func() error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen for metrics requests: %w", err)
		}
		if err := bounds.Wrap(listener, "metrics", guard.Reserved).Serve(ctx, metrics); err != nil {
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
	ctx, cancel := context.WithTimeout(context.Background(), metricsServerTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		// Only metrics requests are cut off, so the error is ignored.
		_ = s.Close()
	}
}
