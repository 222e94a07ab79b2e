package launcher

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/edge/guard"
	"github.com/burdockrudder/burdockrudder/internal/edge/invoker"
)

// announceTimeout limits reading a request of the endpoint and stopping the server.
const announceTimeout = 2 * time.Second

// announceServer receives the endpoint's announcements over HTTP.
type announceServer struct {
	address  string
	listener net.Listener
	control  *agentControl
	guard    *guard.Guard
}

// Run serves until ctx ends.
func (s *announceServer) Run(ctx context.Context) error {
	announcer := &invoker.Announcer{
		OnAnnounce: func(service string, slots int, labels []string) {
			s.control.post(gatekeeper.EndpointAnnounced{Service: service, Slots: slots, Labels: labels})
		},
		OnDepart: func() { s.control.post(gatekeeper.EndpointDeparting{}) },
	}
	server := &http.Server{Handler: announcer.Handler(), ReadHeaderTimeout: announceTimeout, ReadTimeout: announceTimeout}
	listener, err := s.listen()
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.Go(func() error {
		if err := s.guard.Wrap(listener, "announcements", guard.Reserved).Serve(ctx, server); err != nil {
			return fmt.Errorf("serve announcements: %w", err)
		}
		return nil
	})
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		_ = server.Close()
	}
	return group.Wait()
}

func (s *announceServer) listen() (net.Listener, error) {
	if s.listener != nil {
		return s.listener, nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, fmt.Errorf("listen for announcements: %w", err)
	}
	return listener, nil
}
