package linker

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/transport/authenticator"
)

const (
	// protocol is the ALPN name. Its number changes with the framing.
	protocol = "burdockrudder/1"
	// idleTimeout is the time after which QUIC closes a connection whose peer sends no
	// packets at all, not even acknowledgements.
	idleTimeout = 10 * time.Second
	// handshakeTimeout bounds the time from the first packet to the welcome.
	handshakeTimeout = 2 * time.Second
)

// The application error codes with which a connection is closed. They identify the
// reason in packet traces.
const (
	codeClosed quic.ApplicationErrorCode = iota
	codeRefused
	codeReplaced
	codeSilent
	codeOverflow
	codeProtocol
)

// quicConfig returns the QUIC configuration of both ends. The dialer may open one
// stream. Keep-alives are off, because links send their own pings.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      0,
		Allow0RTT:            false,
		// Messages are small, and the probes would be most of the traffic of a new link.
		DisablePathMTUDiscovery: true,
		MaxIncomingStreams:      1,
		MaxIncomingUniStreams:   -1,
	}
}

// resetKey derives the key of stateless resets from a secret. Without a secret it
// returns nil, and no resets are sent.
func resetKey(secret []byte) *quic.StatelessResetKey {
	if len(secret) == 0 {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(secret))
	return &key
}

func withALPN(config *tls.Config) *tls.Config {
	config = config.Clone()
	config.NextProtos = []string{protocol}
	// Connections are never resumed: both ends have new keys after a restart.
	config.SessionTicketsDisabled = true
	return config
}

// quicWire is one stream and its connection.
type quicWire struct {
	*quic.Stream
	conn *quic.Conn
}

func (w quicWire) close(cause error) {
	_ = w.conn.CloseWithError(codeOf(cause), causeText(cause))
}

func codeOf(cause error) quic.ApplicationErrorCode {
	switch {
	case errors.Is(cause, errReplaced):
		return codeReplaced
	case errors.Is(cause, errSilent):
		return codeSilent
	case errors.Is(cause, errOverflow):
		return codeOverflow
	case errors.Is(cause, errProtocol), errors.Is(cause, errFrameTooLarge):
		return codeProtocol
	default:
		return codeClosed
	}
}

// closedAsReplaced reports whether the peer closed a connection as replaced.
func closedAsReplaced(cause error) bool {
	var closed *quic.ApplicationError
	return errors.As(cause, &closed) && closed.Remote && closed.ErrorCode == codeReplaced
}

func causeText(cause error) string {
	if cause == nil {
		return ""
	}
	return cause.Error()
}

// readMessage reads one message of type M during the setup of a link.
func readMessage[M messenger.Message](l *link) (M, error) {
	var none M
	data, err := l.frames.next()
	if err != nil {
		return none, fmt.Errorf("read %T: %w", none, err)
	}
	m, err := messenger.Decode(data)
	if err != nil {
		return none, err
	}
	wanted, ok := m.(M)
	if !ok {
		return none, fmt.Errorf("%w: %s instead of %T", errProtocol, messenger.KindName(m), none)
	}
	return wanted, nil
}

// writeMessage writes one message during the setup of a link.
func writeMessage(l *link, m messenger.Message) error {
	data, err := messenger.Encode(m)
	if err != nil {
		return err
	}
	if _, err := l.wire.Write(appendFrame(nil, data)); err != nil {
		return fmt.Errorf("write %T: %w", m, err)
	}
	return nil
}

// verifyPeer checks a hello, or the fields of a hello that a welcome provides,
// against the certificate of the connection.
func (t *Transport) verifyPeer(conn *quic.Conn, peer messenger.Hello) error {
	if err := checkHello(peer); err != nil {
		return err
	}
	identity, err := t.Identify(conn.ConnectionState().TLS)
	if err != nil {
		return err
	}
	return identity.Check(authenticator.Identity{Name: peer.Name, Role: string(peer.Role)})
}

// closeOnDone closes the connection when ctx ends, which unblocks the setup of a
// link. The caller calls stop when the setup is complete or has failed.
func closeOnDone(ctx context.Context, conn *quic.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = conn.CloseWithError(codeClosed, causeText(context.Cause(ctx)))
	})
}
