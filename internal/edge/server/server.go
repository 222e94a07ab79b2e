// Package server serves the HTTP API of callers and operators.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/edge/guard"
)

const (
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	// netHTTPHeaderSlop is the number of bytes that net/http reads beyond MaxHeaderBytes.
	netHTTPHeaderSlop = 4 << 10
	// idleTimeout exceeds the keep-alive of common load balancers (60 s), so that the
	// balancer closes idle connections before the entry does. If the entry closed one
	// first, a request that the balancer sends at that moment would be lost.
	idleTimeout = 75 * time.Second
)

// Defaults of the timeouts of Server.
const (
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultBodyTimeout       = 30 * time.Second
	DefaultRefusalWindow     = 20 * time.Millisecond
	// DefaultStopTimeout exceeds the longest deadline of a submission (5 min), so that
	// every open call can be answered before a graceful stop ends.
	DefaultStopTimeout = 6 * time.Minute
)

// Server serves the API until the context of Run ends. Dispatcher and Settings
// are required; the other fields have defaults.
type Server struct {
	// Address is the TCP address to listen on, unless Listener is set.
	Address string
	// Listener replaces Address.
	Listener net.Listener
	// TLS is the configuration of HTTPS. If it is nil, the server uses plain HTTP.
	TLS *tls.Config
	// RootKeySHA256 is the hex SHA-256 of the root operator key. If it is empty, there
	// is no root key.
	RootKeySHA256 string
	Dispatcher    Dispatcher
	Settings      SettingsStore
	// Metrics serves /metrics to operators. If it is nil, the path does not exist.
	Metrics http.Handler
	// Guard bounds what clients take; nil means the default bounds.
	Guard  *guard.Guard
	Logger *zap.Logger
	Scope  tally.Scope

	// ReadHeaderTimeout bounds the time to receive the headers of a request.
	ReadHeaderTimeout time.Duration
	// BodyTimeout bounds the time to receive the body of a request.
	BodyTimeout time.Duration
	// RefusalWindow is how long the server waits for a refusal of a submission with
	// wait=false before it responds with 202.
	RefusalWindow time.Duration
	// StopTimeout bounds the time that a graceful stop waits for open calls.
	StopTimeout time.Duration

	stopping    atomic.Bool
	background  errgroup.Group
	callContext context.Context
}

// Run serves until ctx ends. It then accepts no further connections and waits until the
// open calls are answered. It returns an error if that takes longer than StopTimeout.
func (s *Server) Run(ctx context.Context) error {
	s.setDefaults()
	callContext, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCalls()
	s.callContext = callContext
	listener, err := s.listen()
	if err != nil {
		return err
	}
	web := s.httpServer()
	guarded := s.guarded(listener)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := guarded.Serve(ctx, web); err != nil {
			return fmt.Errorf("serve %s: %w", listener.Addr(), err)
		}
		return nil
	})
	group.Go(func() error {
		<-groupCtx.Done()
		return s.stop(web, cancelCalls)
	})
	return group.Wait()
}

func (s *Server) setDefaults() {
	if s.Logger == nil {
		s.Logger = zap.NewNop()
	}
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	s.Guard = guard.OrDefault(s.Guard, s.Logger, s.Scope)
	defaultTo(&s.ReadHeaderTimeout, DefaultReadHeaderTimeout)
	defaultTo(&s.BodyTimeout, DefaultBodyTimeout)
	defaultTo(&s.RefusalWindow, DefaultRefusalWindow)
	defaultTo(&s.StopTimeout, DefaultStopTimeout)
}

func defaultTo(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

func (s *Server) listen() (net.Listener, error) {
	listener := s.Listener
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", s.Address)
		if err != nil {
			return nil, fmt.Errorf("listen for HTTP: %w", err)
		}
	}
	if s.TLS != nil {
		listener = tls.NewListener(listener, s.TLS)
	}
	return listener, nil
}

func (s *Server) guarded(listener net.Listener) *guard.Listener {
	if s.TLS != nil {
		return s.Guard.WrapTLS(listener, "api", guard.Callers)
	}
	return s.Guard.Wrap(listener, "api", guard.Callers)
}

func (s *Server) httpServer() *http.Server {
	return &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: s.ReadHeaderTimeout,
		MaxHeaderBytes:    max(maxHeaderBytes, s.Guard.Settings.MaxHeaderBytes) - netHTTPHeaderSlop,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(s.Logger),
		BaseContext:       func(net.Listener) context.Context { return s.callContext },
	}
}

// stop waits until the open calls are answered and cancels them after StopTimeout.
func (s *Server) stop(web *http.Server, cancelCalls context.CancelFunc) error {
	s.stopping.Store(true)
	stopContext, cancel := context.WithTimeout(s.callContext, s.StopTimeout)
	defer cancel()
	defer context.AfterFunc(stopContext, cancelCalls)()
	err := web.Shutdown(stopContext)
	if err != nil {
		err = errors.Join(fmt.Errorf("graceful stop of the HTTP server failed, open calls were cancelled: %w", err), web.Close())
	}
	return errors.Join(err, s.background.Wait())
}
