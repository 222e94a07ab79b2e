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
	announceInterval = time.Second
	announceTimeout  = time.Second
	// departAttempts and departRetryDelay spread the requests of a departure over
	// about the time after which an announcement expires by itself.
	departAttempts   = 3
	departRetryDelay = 100 * time.Millisecond
	// headerTimeout is long because closing a connection while a task is being sent
	// leaves the task in doubt. 1 s was too short on a busy machine.
	headerTimeout = 30 * time.Second
	// stopTimeout limits a graceful stop. It exceeds the longest run time in use.
	stopTimeout = 30 * time.Second
)

// Run serves until ctx ends, then announces the departure and lets running tasks
// finish.
func (e *Endpoint) Run(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: e.Handler(), ConnState: e.trackConnection, ReadHeaderTimeout: headerTimeout}
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
	departErr := e.depart(ctx)
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	close(e.stopped)
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop endpoint: %w", err)
	}
	return departErr
}

// depart announces the departure, up to departAttempts times, until the agent answers.
// The stop may have interrupted an announcement and left its connection unusable,
// and an agent that does not receive the departure sends tasks until the
// announcement expires.
func (e *Endpoint) depart(ctx context.Context) error {
	var err error
	for range departAttempts {
		if err = e.notifyAgent(ctx, http.MethodDelete); err == nil {
			return nil
		}
		time.Sleep(departRetryDelay)
	}
	return fmt.Errorf("announce departure to agent: all %d attempts failed, the last with: %w", departAttempts, err)
}

// trackConnection records the open connections and closes new ones over the limit.
func (e *Endpoint) trackConnection(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(e.openConnections, conn)
		return
	}
	if state != http.StateNew {
		return
	}
	if e.Connections > 0 && len(e.openConnections) >= e.Connections {
		e.counters.ConnectionViolations++
		// The server notices the closed connection and ends its goroutine.
		_ = conn.Close()
		return
	}
	e.openConnections[conn] = true
}

func (e *Endpoint) announce(ctx context.Context) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		// A failed announcement needs no handling: the next one follows after
		// announceInterval.
		_ = e.notifyAgent(ctx, http.MethodPost)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// notifyAgent sends an announcement to the agent: with POST that the endpoint serves,
// with DELETE that it departs.
func (e *Endpoint) notifyAgent(ctx context.Context, method string) error {
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
		return fmt.Errorf("send announcement to agent: %w", err)
	}
	return response.Body.Close()
}

func (e *Endpoint) client() *http.Client {
	if e.HTTP == nil {
		return http.DefaultClient
	}
	return e.HTTP
}
