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
	// dialSilence is the silence after which a dialer gives up a link that no
	// raced connection has replaced.
	dialSilence = idleTimeout
	// turnedAwayWait is the time until a dialer looks again at an address where
	// it found itself or a peer that dials it. Another process may have taken
	// over the address.
	turnedAwayWait = 30 * time.Second
	// stableAfter is the life time of a link after which its loss starts the
	// backoff anew.
	stableAfter = backoffCeiling
)

var (
	errTurnedAway = errors.New("not ours to dial")
	errOtherName  = errors.New("target has another name")
	errRemoved    = errors.New("target was removed")
)

// dialer keeps a link to one address.
type dialer struct {
	transport *Transport
	ctx       context.Context
	cancel    context.CancelCauseFunc
	backoff   backoff
	failed    bool
	// updated holds a token when the target has changed.
	updated chan struct{}

	mu     sync.Mutex
	target messenger.EntryAddress
}

func newDialer(ctx context.Context, t *Transport, target messenger.EntryAddress) *dialer {
	d := &dialer{transport: t, target: target, updated: make(chan struct{}, 1)}
	d.ctx, d.cancel = context.WithCancelCause(ctx)
	d.backoff.random, d.backoff.ceiling = rand.Float64, t.RedialCeiling
	return d
}

func (d *dialer) stop() {
	d.cancel(errRemoved)
}

// update changes what is known about the process at the address. It ends a wait
// that was due to the earlier knowledge.
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

func (d *dialer) present() messenger.EntryAddress {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.target
}

// run dials until the dialer is stopped.
func (d *dialer) run() error {
	for d.ctx.Err() == nil {
		d.sleep(d.attempt())
	}
	return nil
}

// attempt dials once, keeps the link as long as it lasts, and returns the time
// to wait before the next attempt.
func (d *dialer) attempt() time.Duration {
	l, err := d.connect()
	if errors.Is(err, errTurnedAway) {
		d.log(err)
		return turnedAwayWait
	}
	if err != nil {
		d.log(err)
		return d.backoff.next()
	}
	d.failed = false
	d.keep(l)
	if l.age() > stableAfter {
		d.backoff.reset()
	}
	d.yield(l)
	return d.backoff.next()
}

// log reports the first of several failures as a warning.
func (d *dialer) log(err error) {
	if d.ctx.Err() != nil {
		return
	}
	level := zap.WarnLevel
	if d.failed || errors.Is(err, errTurnedAway) {
		level = zap.DebugLevel
	}
	d.failed = true
	d.transport.Logger.Log(level, "dial failed", zap.String("address", d.present().Address), zap.Error(err))
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

// yield waits while another dialer has a link to the same process, which is
// known under two addresses.
func (d *dialer) yield(l *link) {
	p := d.transport.registry.find(l.peer.Incarnation)
	if p == nil || d.ctx.Err() != nil {
		return
	}
	d.transport.Logger.Info("address yields to another link", peerFields(l.peer)...)
	select {
	case <-d.ctx.Done():
	case <-p.gone:
	}
}

// keep attaches a link and its replacements, until one ends without.
func (d *dialer) keep(l *link) {
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
		next := d.hold(l)
		if next == nil {
			d.awaitSuccessor(l)
		}
		if next == nil || next.peer.Incarnation != l.peer.Incarnation {
			l.fail(errReplaced)
			registry.detach(l)
		}
		l = next
	}
}

// hold waits for the end of a link. If the link falls silent, it races new
// connections against it and returns the first that carries a welcome. A link
// that ends during a race may still be replaced, so that an acceptor that closes
// the old connection first does not cause an Unlinked call.
func (d *dialer) hold(l *link) *link {
	race := backoff{random: rand.Float64, ceiling: d.transport.RedialCeiling}
	for d.awaitSilence(l) {
		d.transport.metrics.races.Inc(1)
		d.transport.Logger.Info("racing a silent link", peerFields(l.peer)...)
		next, err := d.connect()
		if err == nil {
			return next
		}
		d.log(err)
		d.pause(l, race.next())
	}
	return nil
}

// awaitSuccessor waits after the acceptor has closed a link because it has a
// newer one. That one was dialed under another address of the same process, and
// its welcome is on the way. Without the wait, there would be an Unlinked call.
func (d *dialer) awaitSuccessor(l *link) {
	if !closedAsReplaced(context.Cause(l.ctx)) {
		return
	}
	timer := time.NewTimer(greetTimeout)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
	case <-l.superseded:
	case <-timer.C:
	}
}

// awaitSilence reports true when the link is silent, false when it has ended.
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

// connect dials the target and returns a link that has carried a welcome.
func (d *dialer) connect() (*link, error) {
	ctx, cancel := context.WithTimeout(d.ctx, d.transport.DialTimeout)
	defer cancel()
	target := d.present()
	address, err := netip.ParseAddrPort(target.Address)
	if err != nil {
		return nil, fmt.Errorf("target address: %w", err)
	}
	config := withProtocol(d.transport.TLS)
	config.ServerName = address.Addr().String()
	conn, err := d.transport.quic.Dial(ctx, net.UDPAddrFromAddrPort(address), config, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	l, err := d.introduce(ctx, conn, target)
	if err != nil {
		_ = conn.CloseWithError(codeRefused, err.Error())
		return nil, err
	}
	return l, nil
}

// introduce opens the stream and exchanges hello and welcome.
func (d *dialer) introduce(ctx context.Context, conn *quic.Conn, target messenger.EntryAddress) (*link, error) {
	defer closeOnEnd(ctx, conn)()
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	l := d.transport.prepare(d.ctx, quicWire{stream, conn}, dialSilence)
	if err := d.sayHello(l, conn, target); err != nil {
		l.fail(err)
		return nil, err
	}
	return l, nil
}

func (d *dialer) sayHello(l *link, conn *quic.Conn, target messenger.EntryAddress) error {
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
		return fmt.Errorf("%w: %q", errTurnedAway, welcome.Name)
	}
	if target.Name != "" && target.Name != welcome.Name {
		return fmt.Errorf("%w: %q instead of %q", errOtherName, welcome.Name, target.Name)
	}
	return nil
}
