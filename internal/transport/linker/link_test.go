package linker

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// pipeWire is a wire without a network, so that a link can run on a simulated clock.
type pipeWire struct{ net.Conn }

func (w pipeWire) close(error) { _ = w.Close() }

func pipeLink(t *testing.T, deliver func(*link, messenger.Message)) (*link, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	l := newLink(t.Context(), pipeWire{near})
	l.metrics = testMetrics()
	l.logger = zap.NewNop()
	l.deliver = deliver
	l.probeInterval = DefaultProbeInterval
	l.silenceLimit = acceptorSilenceLimit
	return l, far
}

func ignore(*link, messenger.Message) {}

// Guards against an idle link that sends no pings or too many, and against a link that
// stays open although nothing is received. The far end of the pipe only reads.
func TestIdleLinkProbesAndClosesWhenSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, far := pipeLink(t, ignore)
		start := time.Now()
		pings := 0
		var group errgroup.Group
		group.Go(func() error {
			frames := newFrameReader(far)
			for {
				if _, err := frames.next(); err != nil {
					return nil
				}
				pings++
			}
		})
		if err := l.serve(); !errors.Is(err, errSilent) {
			t.Errorf("link ended with %v; want silence", err)
		}
		_ = group.Wait()
		if spent := time.Since(start); spent != acceptorSilenceLimit {
			t.Errorf("closed after %v; want %v", spent, acceptorSilenceLimit)
		}
		if maxPings := int(acceptorSilenceLimit / DefaultProbeInterval); pings < maxPings-1 || pings > maxPings {
			t.Errorf("%d pings; want %d or one less", pings, maxPings)
		}
	})
}

// Guards against a link that is closed as silent although pings arrive.
func TestPingsKeepLinkOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := pipeLink(t, ignore)
		other := newLink(t.Context(), pipeWire{far})
		other.metrics, other.logger, other.deliver = near.metrics, near.logger, ignore
		other.probeInterval, other.silenceLimit = near.probeInterval, near.silenceLimit
		var group errgroup.Group
		group.Go(func() error { _ = near.serve(); return nil })
		group.Go(func() error { _ = other.serve(); return nil })
		time.Sleep(time.Minute)
		synctest.Wait()
		if near.ctx.Err() != nil || other.ctx.Err() != nil {
			t.Error("link with probes was closed:", context.Cause(near.ctx), context.Cause(other.ctx))
		}
		near.fail(errReplaced)
		other.fail(errReplaced)
		_ = group.Wait()
	})
}

// Guards against an oversized frame that is read or skipped instead of closing the
// link, and against a hello that is accepted on an open link.
func TestBadFramesCloseLink(t *testing.T) {
	hello, err := messenger.Encode(messenger.Hello{})
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		stream []byte
		want   error
	}{
		"oversized frame": {binary.AppendUvarint(nil, maxFrameBytes+1), errFrameTooLarge},
		"second hello":    {appendFrame(nil, hello), errProtocol},
	} {
		t.Run(name, func(t *testing.T) {
			l, far := pipeLink(t, ignore)
			var group errgroup.Group
			group.Go(func() error {
				_, err := far.Write(test.stream)
				return err
			})
			if err := l.serve(); !errors.Is(err, test.want) {
				t.Errorf("link ended with %v; want %v", err, test.want)
			}
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against a message of an unknown kind, as a newer version may send, that closes
// the link or prevents the delivery of later messages.
func TestUnknownKindIsSkipped(t *testing.T) {
	received := make(chan messenger.Message, 1)
	l, far := pipeLink(t, func(_ *link, m messenger.Message) { received <- m })
	known, err := messenger.Encode(messenger.PeerStatus{Sequence: 7})
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error { _ = l.serve(); return nil })
	if _, err := far.Write(appendFrame(appendFrame(nil, []byte{255, 0xa0}), known)); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(messenger.Message(messenger.PeerStatus{Sequence: 7}), <-received); diff != "" {
		t.Error(diff)
	}
	l.fail(errReplaced)
	_ = group.Wait()
}

// Guards against messages that are lost on an open link because its peer reads too
// slowly. The link must close instead. Nothing reads from the pipe.
func TestQueueOverflowClosesLink(t *testing.T) {
	l, _ := pipeLink(t, ignore)
	var group errgroup.Group
	group.Go(l.serve)
	limit := 2*maxQueuedMessages + batchBytes
	sent := 0
	for l.send(messenger.PeerStatus{Sequence: uint64(sent)}) {
		if sent++; sent > limit {
			t.Fatal("queue does not fill")
		}
	}
	if err := group.Wait(); !errors.Is(err, errOverflow) {
		t.Errorf("link ended with %v; want overflow", err)
	}
	if sent < maxQueuedMessages {
		t.Errorf("closed after %d messages; want at least %d", sent, maxQueuedMessages)
	}
	if l.send(messenger.Ping{}) {
		t.Error("closed link accepted a message")
	}
}

// Guards against an oversized message that closes the link instead of being rejected
// by send.
func TestOversizedMessageIsNotSent(t *testing.T) {
	l, _ := pipeLink(t, ignore)
	if l.send(messenger.Start{Payload: make([]byte, maxFrameBytes)}) {
		t.Error("oversized message accepted")
	}
	if l.ctx.Err() != nil {
		t.Error("link closed:", context.Cause(l.ctx))
	}
	l.fail(errReplaced)
}

// Guards against a Delay function that has no effect.
func TestDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, far := pipeLink(t, ignore)
		l.delay = func(messenger.Hello) time.Duration { return 3 * time.Millisecond }
		var group errgroup.Group
		group.Go(func() error { _ = l.serve(); return nil })
		start := time.Now()
		l.send(messenger.PeerStatus{})
		if _, err := newFrameReader(far).next(); err != nil {
			t.Error(err)
		}
		if spent := time.Since(start); spent != 3*time.Millisecond {
			t.Errorf("delayed by %v; want 3ms", spent)
		}
		l.fail(errReplaced)
		_ = group.Wait()
	})
}
