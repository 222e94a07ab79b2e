package linker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// pingPadding brings a ping above the size of a stateless reset, 38 bytes.
var pingPadding = make([]byte, 40)

var (
	errSilent   = errors.New("link is silent")
	errOverflow = errors.New("outgoing queue is full")
	errReplaced = errors.New("link was replaced")
	errProtocol = errors.New("unexpected message on an open link")
)

// wire is the connection that a link uses.
type wire interface {
	io.Reader
	io.Writer
	// close ends the connection and unblocks Read and Write.
	close(cause error)
}

// link is one connection to a peer. It is served after the exchange of hello and
// welcome.
type link struct {
	peer    messenger.Hello
	wire    wire
	frames  *frameReader
	queue   *queue
	metrics *metrics
	logger  *zap.Logger
	deliver func(*link, messenger.Message)
	delay   func(messenger.Hello) time.Duration

	probeInterval time.Duration
	// silenceLimit is the time without received data after which this side closes the
	// link.
	silenceLimit time.Duration

	started time.Time
	// lastReceived is the age of the link, in nanoseconds, at which data last arrived.
	lastReceived atomic.Int64
	muted        atomic.Bool

	// owner is the peer record that serialises the handler calls. It is set
	// before the link is served.
	owner  *peer
	ctx    context.Context
	cancel context.CancelCauseFunc
	// done is closed when serve has returned.
	done chan struct{}
	// superseded is closed when another link to the same peer was attached.
	superseded chan struct{}
}

func newLink(ctx context.Context, w wire) *link {
	l := &link{
		wire:       w,
		queue:      newQueue(),
		started:    time.Now(),
		done:       make(chan struct{}),
		superseded: make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancelCause(ctx)
	l.frames = newFrameReader(activityReader{l})
	return l
}

// activityReader records when data arrives. It records each read rather than each
// complete frame, so that a link does not count as silent while a large message is
// arriving.
type activityReader struct{ link *link }

func (r activityReader) Read(p []byte) (int, error) {
	n, err := r.link.wire.Read(p)
	if n > 0 && !r.link.muted.Load() {
		r.link.lastReceived.Store(int64(r.link.age()))
	}
	return n, err
}

// age returns the time since the link was created. The times of a link are
// measured from then.
func (l *link) age() time.Duration {
	return time.Since(l.started)
}

// silence returns the time since data was last received.
func (l *link) silence() time.Duration {
	return l.age() - time.Duration(l.lastReceived.Load())
}

// send queues a message and reports whether the message was queued. A message is
// rejected if it cannot be encoded, if its frame is too large, if the link is closed,
// or if the queue is full. A full queue also closes the link.
func (l *link) send(m messenger.Message) bool {
	data, err := messenger.Encode(m)
	if err == nil && len(data) > maxFrameBytes {
		err = errFrameTooLarge
	}
	if err != nil {
		l.logger.Error("message dropped before sending", zap.Error(err))
		return false
	}
	item := outgoing{data: data, meter: l.metrics.out.of(data[0], m)}
	if l.delay != nil {
		item.due = l.age() + l.delay(l.peer)
	}
	result := l.queue.push(item)
	if result == pushFull {
		l.metrics.overflows.Inc(1)
		l.fail(errOverflow)
	}
	return result == pushed
}

// fail closes the link with the cause, without waiting until serve has returned.
func (l *link) fail(cause error) {
	l.queue.close()
	l.cancel(cause)
}

// serve sends and receives messages until the link ends, and returns the cause.
func (l *link) serve() error {
	defer close(l.done)
	group, ctx := errgroup.WithContext(l.ctx)
	group.Go(l.read)
	group.Go(func() error { return l.write(ctx) })
	group.Go(func() error { return l.watch(ctx) })
	_ = group.Wait()
	cause := context.Cause(ctx)
	l.fail(cause)
	return cause
}

func (l *link) read() error {
	for {
		data, err := l.frames.next()
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		if l.muted.Load() {
			continue
		}
		if err := l.receive(data); err != nil {
			return err
		}
	}
}

func (l *link) receive(data []byte) error {
	m, err := messenger.Decode(data)
	if err != nil {
		// TLS rules out corruption, so the peer runs another version. The link stays
		// open, because otherwise processes of adjacent versions could not work together.
		l.metrics.undecodable.Inc(1)
		l.logger.Warn("skipped a received message that could not be decoded", zap.Error(err))
		return nil
	}
	l.metrics.in.of(data[0], m).add(len(data))
	switch m.(type) {
	case messenger.Ping:
	case messenger.Hello, messenger.Welcome:
		return fmt.Errorf("%w: %s", errProtocol, messenger.KindName(m))
	default:
		l.deliver(l, m)
	}
	return nil
}

// write sends the queued messages, and a ping when nothing was sent for the probe
// interval.
func (l *link) write(ctx context.Context) error {
	timer := time.NewTimer(l.probeInterval)
	defer timer.Stop()
	var buf []byte
	var sent time.Duration
	for {
		now := l.age()
		batch, wait := l.queue.take(buf[:0], now)
		buf = batch
		if len(batch) > 0 {
			sent = now
			if err := l.transmit(batch); err != nil {
				return err
			}
			continue
		}
		idle := sent + l.probeInterval - now
		if idle <= 0 {
			sent = now
			l.send(messenger.Ping{Padding: pingPadding})
			continue
		}
		if wait > 0 {
			idle = min(idle, wait)
		}
		timer.Reset(idle)
		select {
		case <-ctx.Done():
			return nil
		case <-l.queue.ready:
		case <-timer.C:
		}
	}
}

func (l *link) transmit(batch []byte) error {
	if l.muted.Load() {
		return nil
	}
	if _, err := l.wire.Write(batch); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// watch closes the connection when the link ends or nothing was received for
// silenceLimit. Closing the connection also ends the reader and the writer.
func (l *link) watch(ctx context.Context) error {
	err := l.awaitSilence(ctx, l.silenceLimit)
	// The cause is set before the connection is closed. Otherwise, errors that the
	// reader and the writer get from the closed connection might be reported instead.
	l.fail(err)
	l.wire.close(err)
	return err
}

// awaitSilence waits until no data was received for the limit, and returns errSilent,
// or until ctx ends, and returns its cause.
func (l *link) awaitSilence(ctx context.Context, limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		remaining := limit - l.silence()
		if remaining <= 0 {
			return fmt.Errorf("%w for %v", errSilent, limit)
		}
		timer.Reset(remaining)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
		}
	}
}
