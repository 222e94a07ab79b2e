package linker

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// acceptorSilenceLimit is the time without received data after which an acceptor
// closes a link. It is well above DefaultSilentAfter, after which a dialer dials a
// replacement connection.
const acceptorSilenceLimit = 3 * time.Second

var errWrongDialer = errors.New("the other side dials this pair")

func (t *Transport) accept(ctx context.Context, listener *quic.Listener) error {
	for {
		conn, err := listener.Accept(ctx)
		if ctx.Err() != nil {
			return listener.Close()
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		t.group.Go(func() error {
			t.handleConn(ctx, conn)
			return nil
		})
	}
}

// handleConn serves one accepted connection until it ends.
func (t *Transport) handleConn(ctx context.Context, conn *quic.Conn) {
	l, err := t.acceptHandshake(ctx, conn)
	finish(conn)
	if err != nil {
		t.refuse(conn, err)
		return
	}
	if err := t.registry.attach(l); err != nil {
		l.fail(err)
		t.refuse(conn, err)
		return
	}
	t.serve(l)
	t.registry.detach(l)
}

func (t *Transport) refuse(conn *quic.Conn, err error) {
	_ = conn.CloseWithError(codeRefused, err.Error())
	if errors.Is(err, errWrongDialer) {
		return
	}
	t.metrics.refused.Inc(1)
	t.Logger.Warn("link refused", zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
}

// acceptHandshake accepts the stream, reads and checks the hello of the dialer, and
// queues the welcome as the first message of the link.
func (t *Transport) acceptHandshake(ctx context.Context, conn *quic.Conn) (*link, error) {
	limited, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	defer closeOnDone(limited, conn)()
	stream, err := conn.AcceptStream(limited)
	if err != nil {
		return nil, fmt.Errorf("accept stream: %w", err)
	}
	l := t.prepare(ctx, quicWire{stream, conn}, acceptorSilenceLimit)
	if err := t.answerHello(limited, l, conn); err != nil {
		l.fail(err)
		return nil, err
	}
	return l, nil
}

func (t *Transport) answerHello(ctx context.Context, l *link, conn *quic.Conn) error {
	l.frames.limit = maxSetupFrameBytes
	hello, err := readMessage[messenger.Hello](l)
	l.frames.limit = maxFrameBytes
	if err != nil {
		return err
	}
	if err := t.verifyPeer(conn, hello); err != nil {
		return err
	}
	l.peer = hello
	welcome := messenger.Welcome{Name: t.Hello.Name, Incarnation: t.Hello.Incarnation}
	if !accepts(t.Hello, hello) {
		return rejectDialer(ctx, l, conn, welcome)
	}
	l.send(welcome)
	return nil
}

// rejectDialer sends the welcome to a dialer that must not dial this process, so that
// the dialer learns the name of this process, and waits until the dialer closes the
// connection.
// This happens when an entry dials a bootstrap address, because it does not know the
// name of the entry at that address.
func rejectDialer(ctx context.Context, l *link, conn *quic.Conn, welcome messenger.Welcome) error {
	if err := writeMessage(l, welcome); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-conn.Context().Done():
	}
	return errWrongDialer
}
