package runner

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/burdockrudder/burdockrudder/internal/daemon/launcher"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// isolation simulates the crash of a daemon that runs in this process: it cuts off
// all communication of the daemon at once, so that the other daemons receive no
// message, no reply and no departure from it.
type isolation struct {
	crashed    atomic.Bool
	mu         sync.Mutex
	crashFuncs []func()
}

// onCrash registers a function that crash calls.
func (i *isolation) onCrash(f func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.crashFuncs = append(i.crashFuncs, f)
}

// crash cuts the daemon off from all communication.
func (i *isolation) crash() {
	i.crashed.Store(true)
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, f := range i.crashFuncs {
		f()
	}
}

// isolatedTransport drops the messages that a crashed daemon sends.
type isolatedTransport struct {
	launcher.Transport
	isolation *isolation
}

// Send sends unless the daemon has crashed.
func (t isolatedTransport) Send(to messenger.Incarnation, m messenger.Message) bool {
	return !t.isolation.crashed.Load() && t.Transport.Send(to, m)
}

// isolatedHandler drops the messages that a crashed daemon receives.
type isolatedHandler struct {
	launcher.Handler
	isolation *isolation
}

// Received delivers unless the daemon has crashed.
func (h isolatedHandler) Received(from messenger.Incarnation, m messenger.Message) {
	if !h.isolation.crashed.Load() {
		h.Handler.Received(from, m)
	}
}

// isolatedTable fails the calls of a crashed daemon.
type isolatedTable struct {
	storer.Table
	isolation *isolation
}

// Read reads unless the daemon has crashed.
func (t isolatedTable) Read(ctx context.Context, keys []string) ([]storer.Row, error) {
	if t.isolation.crashed.Load() {
		return nil, storer.ErrUnavailable
	}
	return t.Table.Read(ctx, keys)
}

// Scan scans unless the daemon has crashed.
func (t isolatedTable) Scan(ctx context.Context, prefix string) ([]storer.Row, error) {
	if t.isolation.crashed.Load() {
		return nil, storer.ErrUnavailable
	}
	return t.Table.Scan(ctx, prefix)
}

// Write writes unless the daemon has crashed.
func (t isolatedTable) Write(ctx context.Context, puts []storer.Put, atomic bool) ([]storer.PutResult, error) {
	if t.isolation.crashed.Load() {
		return nil, storer.ErrUnavailable
	}
	return t.Table.Write(ctx, puts, atomic)
}

// isolatedListener closes its connections when the daemon crashes.
type isolatedListener struct {
	net.Listener
	isolation *isolation
}

// Accept accepts a connection that is closed when the daemon crashes.
func (l isolatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.isolation.onCrash(func() { _ = conn.Close() })
	return conn, nil
}
