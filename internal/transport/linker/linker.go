// Package linker keeps the links between processes: QUIC connections under
// mutual TLS, with probes, a raced second connection when a link falls silent,
// and at most one link per pair of processes.
package linker

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/transport/authenticator"
)

// The defaults of the fields of Transport.
const (
	// DefaultProbeInterval lies between the 500 to 600 ms of the periodic messages,
	// which make pings needless, and the silence that starts a race.
	DefaultProbeInterval = 750 * time.Millisecond
	DefaultSilentAfter   = time.Second
	// DefaultDialTimeout allows for links over long distances.
	DefaultDialTimeout = greetTimeout
	// DefaultRedialCeiling bounds what is spent on processes that are gone.
	DefaultRedialCeiling = backoffCeiling
)

// Handler receives the events of the links. The calls for one incarnation are
// serialised and in order: Linked, any Received, further Linked when a new
// connection replaced the link, and Unlinked. Calls for different incarnations
// run in parallel. A call that blocks holds up the messages of its peer. A
// handler may call Send and SetTargets.
type Handler interface {
	// Linked reports a new link. Messages sent to the peer before this call may
	// be lost; messages sent after it are not, unless Linked or Unlinked follows.
	// For a peer that was dialed, the hello has no more than role, name and
	// incarnation.
	Linked(peer messenger.Hello)
	// Unlinked reports that there is no link to the incarnation any more.
	Unlinked(peer messenger.Incarnation)
	// Received delivers a message. Pings are not delivered.
	Received(from messenger.Incarnation, m messenger.Message)
}

// Transport keeps links to the targets and accepts links from other processes.
// The fields are set before Run.
type Transport struct {
	// Hello describes this process. Its name and role match its certificate.
	Hello messenger.Hello
	// Listen is the UDP address, IP and port, to accept links on. A process
	// without one only dials.
	Listen string
	// Socket, if set, replaces the one that Run would bind to Listen. Run closes it.
	Socket net.PacketConn
	// TLS comes from the authenticator package.
	TLS     *tls.Config
	Handler Handler
	// ResetSecret, if set, is the same in each life of this process. A peer that sends
	// to a connection of an earlier life is then told at once that it has ended, and
	// need not notice the silence. Whoever knows the secret can end links.
	ResetSecret []byte
	// Identify reads the peer's identity off a connection; nil means the verified
	// certificate. It replaces that where the links do not authenticate.
	Identify func(tls.ConnectionState) (authenticator.Identity, error)
	// Logger and Metrics are optional.
	Logger  *zap.Logger
	Metrics tally.Scope
	// ProbeInterval is the time without an outgoing message after which a link
	// carries a ping. Zero means DefaultProbeInterval.
	ProbeInterval time.Duration
	// SilentAfter is the silence after which a dialer races a second connection.
	// Zero means DefaultSilentAfter.
	SilentAfter time.Duration
	// DialTimeout bounds one attempt to link. Zero means DefaultDialTimeout.
	DialTimeout time.Duration
	// RedialCeiling bounds the wait between two attempts. With DialTimeout it bounds how
	// long a process that comes back goes unnoticed. Zero means DefaultRedialCeiling.
	RedialCeiling time.Duration
	// Delay adds a one-way delay to each message to the peer, for tests and the
	// demo. The order of messages is kept.
	Delay func(peer messenger.Hello) time.Duration

	once     sync.Once
	metrics  *metrics
	registry *registry
	group    *errgroup.Group
	quic     *quic.Transport
	// bound is closed when address is final.
	bound   chan struct{}
	address string
	// changed holds a token when targets were set.
	changed chan struct{}

	mu      sync.Mutex
	targets []messenger.EntryAddress
}

// setup prepares the private state, since any method may be called before Run.
func (t *Transport) setup() {
	t.once.Do(func() {
		if t.Logger == nil {
			t.Logger = zap.NewNop()
		}
		if t.Identify == nil {
			t.Identify = authenticator.PeerIdentity
		}
		if t.Metrics == nil {
			t.Metrics = tally.NoopScope
		}
		if t.ProbeInterval == 0 {
			t.ProbeInterval = DefaultProbeInterval
		}
		if t.SilentAfter == 0 {
			t.SilentAfter = DefaultSilentAfter
		}
		if t.DialTimeout == 0 {
			t.DialTimeout = DefaultDialTimeout
		}
		if t.RedialCeiling == 0 {
			t.RedialCeiling = DefaultRedialCeiling
		}
		t.bound = make(chan struct{})
		t.changed = make(chan struct{}, 1)
		t.metrics = newMetrics(t.Metrics)
		t.registry = &registry{
			handler: t.Handler,
			metrics: t.metrics,
			peers:   make(map[messenger.Incarnation]*peer),
		}
	})
}

// Run keeps the links until ctx ends. It then closes them, with an Unlinked call
// for each, and returns nil. Run is called once.
func (t *Transport) Run(ctx context.Context) error {
	t.setup()
	listener, err := t.open()
	close(t.bound)
	if err != nil {
		return err
	}
	defer t.shut()
	t.group, ctx = errgroup.WithContext(ctx)
	t.group.Go(func() error { return t.manage(ctx) })
	if listener != nil {
		t.group.Go(func() error { return t.accept(ctx, listener) })
	}
	return t.group.Wait()
}

// open binds the socket. The listener is nil for a process that only dials.
func (t *Transport) open() (*quic.Listener, error) {
	if t.TLS == nil || t.Handler == nil {
		return nil, errors.New("transport needs TLS and a handler")
	}
	if err := checkHello(t.Hello); err != nil {
		return nil, fmt.Errorf("own hello: %w", err)
	}
	socket := t.Socket
	if socket == nil {
		var err error
		if socket, err = bind(t.Listen); err != nil {
			return nil, err
		}
	}
	t.quic = &quic.Transport{Conn: socket, StatelessResetKey: resetKey(t.ResetSecret)}
	if t.Listen == "" {
		return nil, nil
	}
	listener, err := t.quic.Listen(withProtocol(t.TLS), quicConfig())
	if err != nil {
		t.shut()
		return nil, fmt.Errorf("listen on %s: %w", t.Listen, err)
	}
	t.address = listener.Addr().String()
	return listener, nil
}

func bind(address string) (*net.UDPConn, error) {
	if address == "" {
		return net.ListenUDP("udp", nil)
	}
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen address %q: %w", address, err)
	}
	socket, err := net.ListenUDP("udp", resolved)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return socket, nil
}

func (t *Transport) shut() {
	if err := t.quic.Close(); err != nil {
		t.Logger.Warn("transport not closed cleanly", zap.Error(err))
	}
	if err := t.quic.Conn.Close(); err != nil {
		t.Logger.Warn("socket not closed cleanly", zap.Error(err))
	}
}

// Address returns the address that links are accepted on. It waits until Run has
// bound the socket, and is empty if that failed or if the process only dials.
func (t *Transport) Address() string {
	t.setup()
	<-t.bound
	return t.address
}

// Send queues a message to a linked peer and does not wait for the network. It
// reports false if there is no open link. If the queue of the link is full, the
// link is closed and the dialer dials again.
func (t *Transport) Send(to messenger.Incarnation, m messenger.Message) bool {
	for l := t.linkTo(to); l != nil; {
		if l.send(m) {
			return true
		}
		// A link that was replaced after the lookup is closed, its successor is not.
		next := t.linkTo(to)
		if next == l {
			return false
		}
		l = next
	}
	return false
}

// Mute makes the present connection to the peer silent for good, to test silent
// connections: it drops everything in both directions. Later connections work.
// Mute reports whether there was a link.
func (t *Transport) Mute(peer messenger.Incarnation) bool {
	l := t.linkTo(peer)
	if l == nil {
		return false
	}
	l.muted.Store(true)
	return true
}

func (t *Transport) linkTo(incarnation messenger.Incarnation) *link {
	t.setup()
	p := t.registry.find(incarnation)
	if p == nil {
		return nil
	}
	return p.current.Load()
}

// SetTargets replaces the set of entries to keep links to. A target without a
// name is dialed to learn who it is. Links to addresses that are no longer in
// the set are closed.
func (t *Transport) SetTargets(targets []messenger.EntryAddress) {
	t.setup()
	t.mu.Lock()
	t.targets = append([]messenger.EntryAddress(nil), targets...)
	t.mu.Unlock()
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// manage starts and stops dialers as the targets change.
func (t *Transport) manage(ctx context.Context) error {
	dialers := make(map[string]*dialer)
	for {
		t.reconcile(ctx, dialers)
		select {
		case <-ctx.Done():
			return nil
		case <-t.changed:
		}
	}
}

func (t *Transport) reconcile(ctx context.Context, dialers map[string]*dialer) {
	t.mu.Lock()
	chosen := chooseTargets(t.Hello, t.targets)
	t.mu.Unlock()
	for address, d := range dialers {
		if _, ok := chosen[address]; !ok {
			d.stop()
			delete(dialers, address)
		}
	}
	for address, target := range chosen {
		if d, ok := dialers[address]; ok {
			d.update(target)
			continue
		}
		d := newDialer(ctx, t, target)
		dialers[address] = d
		t.group.Go(d.run)
	}
}

// prepare returns a link over w with the settings of this transport.
func (t *Transport) prepare(ctx context.Context, w wire, silenceLimit time.Duration) *link {
	l := newLink(ctx, w)
	l.metrics = t.metrics
	l.logger = t.Logger
	l.deliver = t.registry.deliver
	l.delay = t.Delay
	l.probeInterval = t.ProbeInterval
	l.silenceLimit = silenceLimit
	return l
}

// serve runs an attached link to its end.
func (t *Transport) serve(l *link) {
	t.Logger.Info("link open", peerFields(l.peer)...)
	cause := l.serve()
	t.Logger.Info("link closed", append(peerFields(l.peer), zap.Error(cause))...)
}

func peerFields(peer messenger.Hello) []zap.Field {
	return []zap.Field{
		zap.String("peer", string(peer.Incarnation)),
		zap.String("role", string(peer.Role)),
	}
}
