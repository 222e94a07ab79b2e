package executor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/edge/invoker"
)

const (
	announceEvery   = time.Second
	announceTimeout = time.Second
	// departTries and departPause spread the tries of a departure over about the
	// time after which an announcement lapses by itself.
	departTries = 3
	departPause = 100 * time.Millisecond
	// headerTimeout is long, because a connection that is closed while a task is
	// being sent leaves the task in doubt: on a busy machine 1 s was too short.
	headerTimeout = 30 * time.Second
	// stopTimeout bounds a graceful stop. It is above the longest run time in use.
	stopTimeout = 30 * time.Second
)

// Run serves until ctx ends, and then departs and lets running tasks finish.
func (e *Endpoint) Run(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: e.Handler(), ConnState: e.track, ReadHeaderTimeout: headerTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve endpoint: %w", err)
		}
		return nil
	})
	group.Go(func() error { return e.announce(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return e.stop(context.WithoutCancel(ctx), server)
	})
	return group.Wait()
}

func (e *Endpoint) stop(ctx context.Context, server *http.Server) error {
	departed := e.depart(ctx)
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	close(e.stopped)
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop endpoint: %w", err)
	}
	return departed
}

// depart tells the agent until it answers. An announcement that was cut off by
// the stop may have left its connection unusable, and an agent that never hears
// of the departure sends tasks until the announcement lapses.
func (e *Endpoint) depart(ctx context.Context) error {
	var err error
	for range departTries {
		if err = e.tell(ctx, http.MethodDelete); err == nil {
			return nil
		}
		time.Sleep(departPause)
	}
	return fmt.Errorf("depart after %d tries: %w", departTries, err)
}

// track closes the connections over the limit.
func (e *Endpoint) track(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(e.open, conn)
		return
	}
	if state != http.StateNew {
		return
	}
	if e.Connections > 0 && len(e.open) >= e.Connections {
		e.counters.ConnectionViolations++
		// The server notices the closed connection and ends its goroutine.
		_ = conn.Close()
		return
	}
	e.open[conn] = true
}

func (e *Endpoint) announce(ctx context.Context) error {
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		// An agent that does not answer is told again with the next announcement.
		_ = e.tell(ctx, http.MethodPost)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (e *Endpoint) tell(ctx context.Context, method string) error {
	if e.Agent == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(invoker.Announcement{Service: e.Service, Slots: e.Slots, Labels: e.Labels})
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, method, e.Agent+invoker.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build announcement: %w", err)
	}
	response, err := e.client().Do(request)
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	return response.Body.Close()
}

func (e *Endpoint) client() *http.Client {
	if e.HTTP == nil {
		return http.DefaultClient
	}
	return e.HTTP
}
