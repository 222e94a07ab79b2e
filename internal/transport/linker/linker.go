// Package linker maintains the links between processes: QUIC connections with
// mutual TLS, with at most one link per pair of processes. An idle link carries
// pings. When nothing is received on a link for SilentAfter, its dialer dials a
// replacement connection. The link stays in use until the replacement is established.
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
	// DefaultProbeInterval is longer than the interval of the periodic messages,
	// 500 to 600 ms, so that a link that carries them needs no pings. It is shorter
	// than DefaultSilentAfter, so that pings keep an idle link from counting as silent.
	DefaultProbeInterval = 750 * time.Millisecond
	DefaultSilentAfter   = time.Second
	// DefaultDialTimeout allows for links over long distances.
	DefaultDialTimeout = handshakeTimeout
	// DefaultMaxRedialDelay is long enough to limit the effort spent on redialing
	// processes that no longer exist.
	DefaultMaxRedialDelay = maxRedialDelay
)

// Handler receives the events of the links. The calls for one incarnation are
// serialised and in order: Linked, any number of Received, another Linked each time
// a new connection replaces the link, and finally Unlinked. Calls for different
// incarnations run in parallel. A call that blocks delays the messages of its peer.
// A handler may call Send and SetTargets.
type Handler interface {
	// Linked reports a new link. Messages sent to the peer before this call may
	// be lost. Messages sent after it are lost only if another Linked or Unlinked
	// call follows. If this process dialed the peer, only role, name and incarnation
	// of the hello are set.
	Linked(peer messenger.Hello)
	// Unlinked reports that the last link to the incarnation has ended.
	Unlinked(peer messenger.Incarnation)
	// Received delivers a message. Pings are not delivered.
	Received(from messenger.Incarnation, m messenger.Message)
}

// Transport maintains links to the targets and accepts links from other processes.
// The exported fields must be set before Run.
type Transport struct {
	// Hello describes this process. Its name and role match those in the certificate.
	Hello messenger.Hello
	// Listen is the UDP address, IP and port, on which links are accepted. If it is
	// empty, the process only dials.
	Listen string
	// Socket, if set, is used instead of a socket that Run binds to Listen. Run
	// closes it.
	Socket net.PacketConn
	// TLS is a configuration created by the authenticator package.
	TLS     *tls.Config
	Handler Handler
	// ResetSecret, if set, is the same for each incarnation of this process. A peer
	// that sends on a connection to an earlier incarnation then receives a stateless
	// reset at once, instead of waiting for the silence timeout. Anyone who knows the
	// secret can close links.
	ResetSecret []byte
	// Identify returns the identity of the peer of a connection. Nil means
	// authenticator.PeerIdentity, which reads the verified certificate. It is set
	// where links are not authenticated.
	Identify func(tls.ConnectionState) (authenticator.Identity, error)
	// Logger and Metrics are optional.
	Logger  *zap.Logger
	Metrics tally.Scope
	// ProbeInterval is the time without an outgoing message after which a ping is
	// sent on a link. Zero means DefaultProbeInterval.
	ProbeInterval time.Duration
	// SilentAfter is the time without received data after which a dialer dials a
	// replacement connection for the link. Zero means DefaultSilentAfter.
	SilentAfter time.Duration
	// DialTimeout bounds one attempt to establish a link, including the exchange of
	// hello and welcome. Zero means DefaultDialTimeout.
	DialTimeout time.Duration
	// MaxRedialDelay bounds the wait between two attempts. Together with DialTimeout it
	// bounds the time until a restarted process is linked again. Zero means
	// DefaultMaxRedialDelay.
	MaxRedialDelay time.Duration
	// MaxHandshakes bounds the accepted connections whose set-up is not complete. Zero
	// means DefaultMaxHandshakes.
	MaxHandshakes int
	// Delay, if set, returns a one-way delay that is added to each message to the
	// peer, for tests and the demo. The order of messages is preserved.
	Delay func(peer messenger.Hello) time.Duration

	once     sync.Once
	metrics  *metrics
	registry *registry
	group    *errgroup.Group
	quic     *quic.Transport
	// bound is closed when Run has bound the socket or failed to, after which address
	// does not change.
	bound   chan struct{}
	address string
	// targetsChanged holds a value when SetTargets was called since manage last received
	// from the channel.
	targetsChanged chan struct{}

	mu      sync.Mutex
	targets []messenger.EntryAddress
}

// setup initialises the private state once. Each exported method calls it, because
// any of them may be called before Run.
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
		if t.MaxRedialDelay == 0 {
			t.MaxRedialDelay = DefaultMaxRedialDelay
		}
		if t.MaxHandshakes == 0 {
			t.MaxHandshakes = DefaultMaxHandshakes
		}
		t.bound = make(chan struct{})
		t.targetsChanged = make(chan struct{}, 1)
		t.metrics = newMetrics(t.Metrics)
		t.registry = &registry{
			handler: t.Handler,
			metrics: t.metrics,
			peers:   make(map[messenger.Incarnation]*peer),
		}
	})
}

// Run maintains the links until ctx ends. It then closes them, calls Unlinked for
// each peer, and returns nil. Run must be called only once.
func (t *Transport) Run(ctx context.Context) error {
	t.setup()
	listener, err := t.open()
	close(t.bound)
	if err != nil {
		return err
	}
	defer t.closeSocket()
	t.group, ctx = errgroup.WithContext(ctx)
	t.group.Go(func() error { return t.manage(ctx) })
	if listener != nil {
		t.group.Go(func() error { return t.accept(ctx, listener) })
	}
	return t.group.Wait()
}

// open binds the socket. The returned listener is nil for a process that only dials.
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
	unfinished := &handshakes{max: int64(t.MaxHandshakes), metrics: t.metrics, logger: t.Logger}
	t.quic = &quic.Transport{
		Conn: socket, StatelessResetKey: resetKey(t.ResetSecret),
		VerifySourceAddress: unfinished.mustValidate, ConnContext: unfinished.begin,
	}
	if t.Listen == "" {
		return nil, nil
	}
	listener, err := t.quic.Listen(withALPN(t.TLS), quicConfig())
	if err != nil {
		t.closeSocket()
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

func (t *Transport) closeSocket() {
	if err := t.quic.Close(); err != nil {
		t.Logger.Warn("closing the QUIC transport failed", zap.Error(err))
	}
	if err := t.quic.Conn.Close(); err != nil {
		t.Logger.Warn("closing the UDP socket failed", zap.Error(err))
	}
}

// Address returns the address on which links are accepted. It waits until Run has
// bound the socket. The address is empty if binding failed or if the process only
// dials.
func (t *Transport) Address() string {
	t.setup()
	<-t.bound
	return t.address
}

// Send queues a message for a linked peer without waiting for the network. It
// reports whether the message was queued. If the queue of the link is full, Send
// closes the link and the dialer dials again.
func (t *Transport) Send(to messenger.Incarnation, m messenger.Message) bool {
	for l := t.linkTo(to); l != nil; {
		if l.send(m) {
			return true
		}
		// If the link was replaced after the lookup, retry on its replacement.
		next := t.linkTo(to)
		if next == l {
			return false
		}
		l = next
	}
	return false
}

// Mute makes the current connection to the peer drop everything in both directions
// permanently, to test silent connections. Later connections are not affected. Mute
// reports whether there was a link.
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

// SetTargets replaces the set of entries to which links are maintained. A target
// without a name is dialed to learn its name. Links to addresses that are no longer
// in the set are closed.
func (t *Transport) SetTargets(targets []messenger.EntryAddress) {
	t.setup()
	t.mu.Lock()
	t.targets = append([]messenger.EntryAddress(nil), targets...)
	t.mu.Unlock()
	select {
	case t.targetsChanged <- struct{}{}:
	default:
	}
}

// manage starts and stops dialers when the targets change.
func (t *Transport) manage(ctx context.Context) error {
	dialers := make(map[string]*dialer)
	for {
		t.reconcile(ctx, dialers)
		select {
		case <-ctx.Done():
			return nil
		case <-t.targetsChanged:
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

// prepare returns a link on w with the settings of this transport.
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

// serve runs an attached link until it ends.
func (t *Transport) serve(l *link) {
	t.Logger.Info("link opened", peerFields(l.peer)...)
	cause := l.serve()
	t.Logger.Info("link closed", append(peerFields(l.peer), zap.Error(cause))...)
}

func peerFields(peer messenger.Hello) []zap.Field {
	return []zap.Field{
		zap.String("peer", string(peer.Incarnation)),
		zap.String("role", string(peer.Role)),
	}
}
