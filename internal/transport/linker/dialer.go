package linker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

const (
	// dialerSilenceLimit is the time without received data after which a dialer closes
	// a link that no raced connection has replaced.
	dialerSilenceLimit = idleTimeout
	// notOursRedialDelay is the delay before a dialer redials an address at which it
	// found its own process, or an entry that has to dial it instead. Another process
	// may have taken over the address by then.
	notOursRedialDelay = 30 * time.Second
	// stableLinkAge is the duration of a link beyond which its end resets the backoff.
	stableLinkAge = maxRedialDelay
)

var (
	errNotOursToDial = errors.New("not ours to dial")
	errOtherName     = errors.New("target has another name")
	errRemoved       = errors.New("target was removed")
)

// dialer maintains a link to one address.
type dialer struct {
	transport *Transport
	ctx       context.Context
	cancel    context.CancelCauseFunc
	backoff   backoff
	// failed is set while attempts fail in a row, so that only the first failure is
	// logged as a warning.
	failed bool
	// updated holds a token when the target has changed.
	updated chan struct{}

	mu     sync.Mutex
	target messenger.EntryAddress
}

func newDialer(ctx context.Context, t *Transport, target messenger.EntryAddress) *dialer {
	d := &dialer{transport: t, target: target, updated: make(chan struct{}, 1)}
	d.ctx, d.cancel = context.WithCancelCause(ctx)
	d.backoff.random, d.backoff.maxDelay = rand.Float64, t.MaxRedialDelay
	return d
}

func (d *dialer) stop() {
	d.cancel(errRemoved)
}

// update replaces the target at the address. If the target differs, update also ends
// a wait between attempts, because its reason may no longer apply.
func (d *dialer) update(target messenger.EntryAddress) {
	d.mu.Lock()
	changed := d.target != target
	d.target = target
	d.mu.Unlock()
	if !changed {
		return
	}
	select {
	case d.updated <- struct{}{}:
	default:
	}
}

func (d *dialer) currentTarget() messenger.EntryAddress {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.target
}

// run repeats attempts until the dialer is stopped.
func (d *dialer) run() error {
	for d.ctx.Err() == nil {
		d.sleep(d.attempt())
	}
	return nil
}

// attempt dials once, maintains the link and its replacements until the last one
// ends, and returns the time to wait before the next attempt.
func (d *dialer) attempt() time.Duration {
	l, err := d.connect()
	if errors.Is(err, errNotOursToDial) {
		d.log(err)
		return notOursRedialDelay
	}
	if err != nil {
		d.log(err)
		return d.backoff.next()
	}
	d.failed = false
	d.maintain(l)
	if l.age() > stableLinkAge {
		d.backoff.reset()
	}
	d.awaitOtherLink(l)
	return d.backoff.next()
}

// log logs a failed attempt: as a warning if it is the first in a row, and at debug
// level otherwise or if the dialer found a process that it must not dial.
func (d *dialer) log(err error) {
	if d.ctx.Err() != nil {
		return
	}
	level := zap.WarnLevel
	if d.failed || errors.Is(err, errNotOursToDial) {
		level = zap.DebugLevel
	}
	d.failed = true
	d.transport.Logger.Log(level, "dial failed", zap.String("address", d.currentTarget().Address), zap.Error(err))
}

func (d *dialer) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
	case <-d.updated:
	case <-timer.C:
	}
}

// awaitOtherLink waits while another dialer has a link to the same process, which
// happens if two addresses of the process are among the targets.
func (d *dialer) awaitOtherLink(l *link) {
	p := d.transport.registry.find(l.peer.Incarnation)
	if p == nil || d.ctx.Err() != nil {
		return
	}
	d.transport.Logger.Info("process is linked through another address; redialing is suspended until that link ends", peerFields(l.peer)...)
	select {
	case <-d.ctx.Done():
	case <-p.unlinked:
	}
}

// maintain attaches a link and then each link that replaces it. It returns when a link
// ends without a replacement.
func (d *dialer) maintain(l *link) {
	registry := d.transport.registry
	for l != nil {
		if err := registry.attach(l); err != nil {
			l.wire.close(err)
			l.fail(err)
			d.log(err)
			return
		}
		serving := l
		d.transport.group.Go(func() error {
			d.transport.serve(serving)
			return nil
		})
		next := d.awaitReplacement(l)
		if next == nil {
			d.awaitSuperseded(l)
		}
		if next == nil || next.peer.Incarnation != l.peer.Incarnation {
			l.fail(errReplaced)
			registry.detach(l)
		}
		l = next
	}
}

// awaitReplacement waits until a link has ended or has to be replaced. If nothing is
// received on the link for SilentAfter, it races new connections against the link and
// returns the first on which a welcome arrives. It returns nil if the link ends
// without a replacement. A link that ends during a race may still be replaced, so that
// an acceptor that closes the old connection first does not cause an Unlinked call.
func (d *dialer) awaitReplacement(l *link) *link {
	raceBackoff := backoff{random: rand.Float64, maxDelay: d.transport.MaxRedialDelay}
	for d.awaitSilence(l) {
		d.transport.metrics.races.Inc(1)
		d.transport.Logger.Info("link is silent; dialing a connection to replace it", peerFields(l.peer)...)
		next, err := d.connect()
		if err == nil {
			return next
		}
		d.log(err)
		d.pause(l, raceBackoff.next())
	}
	return nil
}

// awaitSuperseded waits for the newer link if the acceptor has closed this link as
// replaced. The newer link was dialed by another dialer, through another address of
// the same process, and its welcome has yet to arrive. Without the wait, there would
// be an Unlinked call.
func (d *dialer) awaitSuperseded(l *link) {
	if !closedAsReplaced(context.Cause(l.ctx)) {
		return
	}
	timer := time.NewTimer(handshakeTimeout)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
	case <-l.superseded:
	case <-timer.C:
	}
}

// awaitSilence waits until the link is silent or has ended. It reports whether the
// link is silent.
func (d *dialer) awaitSilence(l *link) bool {
	_ = l.awaitSilence(l.ctx, d.transport.SilentAfter)
	if l.ctx.Err() == nil {
		return true
	}
	<-l.done
	return false
}

func (d *dialer) pause(l *link, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-l.ctx.Done():
	case <-timer.C:
	}
}

// connect dials the target and returns a link on which the welcome was received.
func (d *dialer) connect() (*link, error) {
	ctx, cancel := context.WithTimeout(d.ctx, d.transport.DialTimeout)
	defer cancel()
	target := d.currentTarget()
	address, err := netip.ParseAddrPort(target.Address)
	if err != nil {
		return nil, fmt.Errorf("target address: %w", err)
	}
	config := withALPN(d.transport.TLS)
	config.ServerName = address.Addr().String()
	conn, err := d.transport.quic.Dial(ctx, net.UDPAddrFromAddrPort(address), config, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	l, err := d.handshake(ctx, conn, target)
	if err != nil {
		_ = conn.CloseWithError(codeRefused, err.Error())
		return nil, err
	}
	return l, nil
}

// handshake opens the stream, sends the hello and checks the welcome.
func (d *dialer) handshake(ctx context.Context, conn *quic.Conn, target messenger.EntryAddress) (*link, error) {
	defer closeOnDone(ctx, conn)()
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	l := d.transport.prepare(d.ctx, quicWire{stream, conn}, dialerSilenceLimit)
	if err := d.exchangeHello(l, conn, target); err != nil {
		l.fail(err)
		return nil, err
	}
	return l, nil
}

func (d *dialer) exchangeHello(l *link, conn *quic.Conn, target messenger.EntryAddress) error {
	own := d.transport.Hello
	if err := writeMessage(l, own); err != nil {
		return err
	}
	welcome, err := readMessage[messenger.Welcome](l)
	if err != nil {
		return err
	}
	l.peer = messenger.Hello{Role: messenger.RoleEntry, Name: welcome.Name, Incarnation: welcome.Incarnation}
	if err := d.transport.verifyPeer(conn, l.peer); err != nil {
		return err
	}
	if !dials(own, welcome.Name) {
		return fmt.Errorf("%w: %q", errNotOursToDial, welcome.Name)
	}
	if target.Name != "" && target.Name != welcome.Name {
		return fmt.Errorf("%w: %q instead of %q", errOtherName, welcome.Name, target.Name)
	}
	return nil
}
