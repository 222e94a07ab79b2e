package linker

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
)

const (
	// DefaultMaxHandshakes exceeds the links of a large deployment's entry, all of which
	// may be set up at once after a restart. A peer whose handshake is refused dials again.
	DefaultMaxHandshakes = 128
	// validationDivisor divides the maximum of unfinished handshakes: from that number on,
	// the address of a dialer is validated before state is kept for it. The validation
	// costs one more round trip.
	validationDivisor = 4
	// maxSetupFrameBytes bounds the first message of a connection. A hello has a few
	// hundred bytes.
	maxSetupFrameBytes = maxRetainedBytes
	// handshakeLogInterval is the minimum time between two log lines about the maximum.
	handshakeLogInterval = time.Second
)

var errTooManyHandshakes = errors.New("too many unfinished handshakes")

// handshakes counts the accepted connections that have not completed the exchange of
// hello and welcome.
type handshakes struct {
	max     int64
	metrics *metrics
	logger  *zap.Logger

	unfinished atomic.Int64
	// loggedAt is the time of the last log line in Unix nanoseconds.
	loggedAt atomic.Int64
}

// handshakeKey is the key under which a connection's context holds its *handshake.
type handshakeKey struct{}

// handshake is a counted connection. It is released once.
type handshake struct {
	counter  *handshakes
	released atomic.Bool
}

func (h *handshake) release() {
	if !h.released.Swap(true) {
		h.counter.unfinished.Add(-1)
	}
}

// mustValidate reports whether the next dialer has to prove its address.
func (h *handshakes) mustValidate(net.Addr) bool {
	if h.unfinished.Load() < h.max/validationDivisor {
		return false
	}
	h.metrics.validated.Inc(1)
	return true
}

// begin counts a new connection, or refuses it. The context ends when the connection does.
func (h *handshakes) begin(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	if h.unfinished.Add(1) > h.max {
		h.unfinished.Add(-1)
		h.refused(info.RemoteAddr)
		return nil, errTooManyHandshakes
	}
	begun := &handshake{counter: h}
	context.AfterFunc(ctx, begun.release)
	return context.WithValue(ctx, handshakeKey{}, begun), nil
}

func (h *handshakes) refused(address net.Addr) {
	h.metrics.handshakesRefused.Inc(1)
	now, last := time.Now().UnixNano(), h.loggedAt.Load()
	if now-last < int64(handshakeLogInterval) || !h.loggedAt.CompareAndSwap(last, now) {
		return
	}
	h.logger.Warn("link refused: too many unfinished handshakes", zap.Stringer("address", address),
		zap.Int64("max_handshakes", h.max))
}

// finish ends the count of a connection whose set-up is complete or has failed.
func finish(conn *quic.Conn) {
	if begun, ok := conn.Context().Value(handshakeKey{}).(*handshake); ok {
		begun.release()
	}
}
