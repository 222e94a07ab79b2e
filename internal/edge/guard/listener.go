package guard

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// scanInterval is the time between two checks of the rates.
	scanInterval = 250 * time.Millisecond
	// lateScan is the delay after which a scan judges nothing: the process itself was
	// stopped or had no processor time.
	lateScan = 3 * scanInterval
	// maxEvictionBatch is the maximum of connections that one search closes. It spreads the
	// cost of the search over that many new connections.
	maxEvictionBatch = 32
	// evictionDivisor divides the maximum of connections: one search closes at most that
	// part of them.
	evictionDivisor = 16
	// searchPause is the time since the last search below which clients reconnect so fast
	// that connections are closed in batches also if they are not stalled.
	searchPause = 100 * time.Millisecond
	// stalledAfter is the age from which an unfinished request is closed before idle
	// connections are.
	stalledAfter = time.Second
	// minIdle keeps connections that have just been accepted, or have just been answered,
	// from being closed for the next new one.
	minIdle = 20 * time.Millisecond
	// ipv6PeerBits is the prefix that one IPv6 client usually has for itself.
	ipv6PeerBits = 64
	// reservedIdleTimeout closes idle connections of listeners without a timeout of their
	// own.
	reservedIdleTimeout = 2 * time.Minute
)

// peer is the address from which connections are counted together.
type peer struct{ netip.Addr }

func peerOf(address net.Addr) peer {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return peer{}
	}
	ip := tcp.AddrPort().Addr().Unmap()
	if ip.Is6() {
		if prefix, err := ip.WithZone("").Prefix(ipv6PeerBits); err == nil {
			ip = prefix.Addr()
		}
	}
	return peer{ip}
}

// Listener accepts connections up to a maximum and closes those that are too slow. Its
// server is run by Serve.
type Listener struct {
	net.Listener
	guard *Guard
	name  string
	class Class
	// cost is the estimated memory of a connection.
	cost   int64
	max    int
	limits limitMeters

	mu    sync.Mutex
	conns []*conn
	peers map[peer]*peerCount
	// searchedAt is the time of the last search for connections to close.
	searchedAt time.Duration
}

// peerCount is the number of connections of a peer. The listener's mutex guards it.
type peerCount struct{ connections int }

// Serve serves until the server is shut down, and checks the rates until ctx ends. The
// server's handler must be set before.
func (l *Listener) Serve(ctx context.Context, s *http.Server) error {
	l.protect(s)
	scanCtx, stop := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error { return l.run(scanCtx) })
	err := s.Serve(l)
	stop()
	err = errors.Join(err, group.Wait())
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// protect sets those fields of a server that let the listener follow its requests.
func (l *Listener) protect(s *http.Server) {
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = l.guard.Settings.MaxHeaderBytes
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = reservedIdleTimeout
	}
	s.Handler = l.handler(s.Handler)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded, ok := c.(*conn); ok && state == http.StateIdle {
			guarded.awaitRequest()
		}
	}
}

// Accept returns the next connection that is within the bounds. It never waits for
// another connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		abort(inner)
	}
}

func (l *Listener) admit(inner net.Conn) *conn {
	c := &conn{Conn: inner, listener: l, peer: peerOf(inner.RemoteAddr())}
	c.enter(phaseIdle)
	if !l.makeRoom() {
		l.met(limitConnections, c.peer.String(), int64(l.max))
		return nil
	}
	// The maximum of connections bounds this part of the budget.
	l.guard.budget.takeAnyway(l.cost)
	l.mu.Lock()
	defer l.mu.Unlock()
	c.index = len(l.conns)
	l.conns = append(l.conns, c)
	if c.count = l.peers[c.peer]; c.count == nil {
		c.count = &peerCount{}
		l.peers[c.peer] = c.count
	}
	c.count.connections++
	return c
}

// makeRoom closes connections if the maximum is reached, and reports whether there is
// room for one more.
func (l *Listener) makeRoom() bool {
	l.mu.Lock()
	if l.max == 0 || len(l.conns) < l.max {
		l.mu.Unlock()
		return true
	}
	victims := l.worst(l.guard.now())
	for _, c := range victims {
		l.forget(c)
	}
	l.mu.Unlock()
	for _, c := range victims {
		l.met(limitConnections, c.peer.String(), int64(l.max))
		abort(c.Conn)
	}
	return len(victims) > 0
}

// candidate is a connection that may be closed for a new one.
type candidate struct {
	conn    *conn
	at      phase
	peers   int
	stalled bool
	age     time.Duration
}

// worse orders candidates: first those of the peer with the most connections, then
// unfinished requests without progress, then the oldest.
func worse(a, b candidate) int {
	if order := cmp.Compare(b.peers, a.peers); order != 0 {
		return order
	}
	if a.stalled != b.stalled {
		if a.stalled {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.age, a.age)
}

// worst chooses the connections to close. Connections whose request has been passed on are
// never among them. Those that are not stalled are closed one at a time, unless the
// clients of their peer reconnect very fast. The caller holds the mutex.
func (l *Listener) worst(now time.Duration) []*conn {
	hurried := now-l.searchedAt < searchPause
	l.searchedAt = now
	batch := min(max(1, l.max/evictionDivisor), maxEvictionBatch)
	found := make([]candidate, 0, batch+1)
	for _, c := range l.conns {
		at := phase(c.phase.Load())
		age := now - time.Duration(c.since.Load())
		if at > phaseBody || age < minIdle {
			continue
		}
		next := candidate{conn: c, at: at, peers: c.count.connections, stalled: at != phaseIdle && age >= stalledAfter, age: age}
		if len(found) == batch && worse(found[batch-1], next) <= 0 {
			continue
		}
		position, _ := slices.BinarySearchFunc(found, next, worse)
		found = slices.Insert(found, position, next)
		found = found[:min(len(found), batch)]
	}
	victims := make([]*conn, 0, len(found))
	for _, f := range found {
		if len(victims) > 0 && !f.stalled && (!hurried || f.conn.peer != victims[0].peer) {
			break
		}
		if f.conn.claim(f.at) {
			victims = append(victims, f.conn)
		}
	}
	return victims
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(c)
}

// forget removes a connection from the list. The caller holds the mutex.
func (l *Listener) forget(c *conn) {
	if c.index < 0 {
		return
	}
	last := len(l.conns) - 1
	l.conns[c.index] = l.conns[last]
	l.conns[c.index].index = c.index
	l.conns[last] = nil
	l.conns = l.conns[:last]
	c.index = -1
	if c.count.connections--; c.count.connections == 0 {
		delete(l.peers, c.peer)
	}
}
