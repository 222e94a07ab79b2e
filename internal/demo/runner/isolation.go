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

// isolation cuts a daemon off from everything at once. In one process this is
// what the others see when a process dies: no message, no reply, no goodbye.
type isolation struct {
	dead atomic.Bool
	mu   sync.Mutex
	ends []func()
}

// onCut adds a step that the cut takes.
func (i *isolation) onCut(end func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ends = append(i.ends, end)
}

func (i *isolation) cut() {
	i.dead.Store(true)
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, end := range i.ends {
		end()
	}
}

// isolatedTransport drops what a dead daemon sends.
type isolatedTransport struct {
	launcher.Transport
	isolation *isolation
}

// Send sends unless the daemon is dead.
func (t isolatedTransport) Send(to messenger.Incarnation, m messenger.Message) bool {
	return !t.isolation.dead.Load() && t.Transport.Send(to, m)
}

// isolatedHandler drops what a dead daemon receives.
type isolatedHandler struct {
	launcher.Handler
	isolation *isolation
}

// Received delivers unless the daemon is dead.
func (h isolatedHandler) Received(from messenger.Incarnation, m messenger.Message) {
	if !h.isolation.dead.Load() {
		h.Handler.Received(from, m)
	}
}

// isolatedTable gives a dead daemon no answer.
type isolatedTable struct {
	storer.Table
	isolation *isolation
}

// Read reads unless the daemon is dead.
func (t isolatedTable) Read(ctx context.Context, keys []string) ([]storer.Row, error) {
	if t.isolation.dead.Load() {
		return nil, storer.ErrUnavailable
	}
	return t.Table.Read(ctx, keys)
}

// Scan scans unless the daemon is dead.
func (t isolatedTable) Scan(ctx context.Context, prefix string) ([]storer.Row, error) {
	if t.isolation.dead.Load() {
		return nil, storer.ErrUnavailable
	}
	return t.Table.Scan(ctx, prefix)
}

// Write writes unless the daemon is dead.
func (t isolatedTable) Write(ctx context.Context, puts []storer.Put, atomic bool) ([]storer.PutResult, error) {
	if t.isolation.dead.Load() {
		return nil, storer.ErrUnavailable
	}
	return t.Table.Write(ctx, puts, atomic)
}

// isolatedListener closes its connections when the daemon dies.
type isolatedListener struct {
	net.Listener
	isolation *isolation
}

// Accept accepts a connection that the cut closes.
func (l isolatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.isolation.onCut(func() { _ = conn.Close() })
	return conn, nil
}
