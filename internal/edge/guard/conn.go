package guard

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection is doing.
type phase int32

const (
	// phaseIdle waits for the first byte of a header.
	phaseIdle phase = iota
	phaseHeader
	// phaseBody reads a request's body for its handler.
	phaseBody
	// phaseAnswer has a request that is being handled or answered.
	phaseAnswer
	// phaseDiscard reads the rest of a body that no handler wants.
	phaseDiscard
	// phaseClosing is final: the guard has chosen the connection to be closed.
	phaseClosing
)

const (
	// writePiece is the size in which an answer is written, so that progress is seen
	// while a large answer is being read.
	writePiece = 32 << 10
	// freeHeaderBytes and freeHeaderFields are covered by connectionBytes.
	freeHeaderBytes  = 4 << 10
	freeHeaderFields = 32
	// headerByteCost covers the buffer of a header and its strings.
	headerByteCost = 2
	// fieldCost is the memory of one field of net/http's map: 88 bytes were measured with
	// 100,000 fields, and a map that has just grown has room for twice its fields.
	fieldCost = 192
	// discardTime bounds reading the rest of a body that no handler wants.
	discardTime = time.Second
	// lingerTime and lingerBytes bound the reading after a refusal by the guard itself.
	// Closing a socket with unread data would reset it, and the client would lose the
	// answer.
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 256 << 10
	// refusalWriteTime bounds writing such a refusal.
	refusalWriteTime = 100 * time.Millisecond
)

// errRefused is the error of a read after the guard has answered and closed. net/http
// sends no answer of its own after an error of this type.
var errRefused = &net.OpError{Op: "read", Err: errors.New("refused by the guard")}

// errShed is the error of a read whose connection had to give up its body.
var errShed = errors.New("request given up: the memory for requests is used up")

// conn is an accepted connection. net/http reads it from one goroutine at a time.
type conn struct {
	net.Conn
	listener *Listener
	peer     peer
	count    *peerCount
	// index is the position in the listener's list; the listener's mutex guards it.
	index int

	phase atomic.Int32
	// since is when the phase began or, in phaseBody, when the last piece of the body was
	// complete.
	since    atomic.Int64
	requests atomic.Int64
	received atomic.Int64
	sent     atomic.Int64
	reading  atomic.Bool
	writing  atomic.Bool
	// reserved is set while the request may use the reserve of the budget.
	reserved atomic.Bool
	// shed is set when the connection has to give up its unfinished header or body.
	shed atomic.Bool

	header headerCounter
	// headerCharge and requestCharge are the reserved bytes of the current request.
	headerCharge  atomic.Int64
	requestCharge atomic.Int64

	// receivedBefore is the number of bytes received when the previous request had been
	// answered. Only the goroutine that serves the connection uses it.
	receivedBefore int64

	window    window
	closeOnce sync.Once
	closeErr  error
}

// enter begins a phase. It reports false if the connection is being closed by the guard.
func (c *conn) enter(p phase) bool {
	c.since.Store(int64(c.listener.guard.now()))
	for {
		old := c.phase.Load()
		if phase(old) == phaseClosing {
			return false
		}
		if c.phase.CompareAndSwap(old, int32(p)) {
			return true
		}
	}
}

// claim chooses the connection to be closed. It reports false if the connection has left
// the phase, so that a request that has just been passed on is not among those closed.
func (c *conn) claim(from phase) bool {
	return c.phase.CompareAndSwap(int32(from), int32(phaseClosing))
}

func (c *conn) in(p phase) bool { return phase(c.phase.Load()) == p }

// Read reads from the client. It counts a header while it arrives.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.prepareRead(); err != nil {
		return 0, err
	}
	c.reading.Store(true)
	n, err := c.Conn.Read(p)
	c.reading.Store(false)
	c.received.Add(int64(n))
	switch phase(c.phase.Load()) {
	case phaseIdle, phaseHeader:
		if n > 0 && !c.countHeader(p[:n]) {
			return 0, errRefused
		}
	default:
		c.header.skip(p[:n])
	}
	if err != nil && c.shed.Load() {
		return n, c.shedError()
	}
	return n, err
}

// shedError ends the read of a connection that had to give up what it has sent. For a
// header, the guard answers itself; for a body, its handler does.
func (c *conn) shedError() error {
	if c.in(phaseHeader) {
		// The client has stopped sending, so nothing unread can make it lose the answer.
		c.writeRefusal(memoryRefusal)
		return errRefused
	}
	return errShed
}

func (c *conn) prepareRead() error {
	if c.shed.Load() {
		return c.shedError()
	}
	if !c.in(phaseDiscard) {
		return nil
	}
	end := time.Duration(c.since.Load()) + discardTime
	left := end - c.listener.guard.now()
	if left <= 0 {
		c.listener.met(limitDiscard, c.peer.String(), c.received.Load())
		return os.ErrDeadlineExceeded
	}
	return c.Conn.SetReadDeadline(time.Now().Add(left))
}

// countHeader counts bytes of a header, reserves memory for them, and reports whether the
// header may go on.
func (c *conn) countHeader(data []byte) bool {
	if c.in(phaseIdle) {
		c.enter(phaseHeader)
	}
	if c.header.complete && !c.header.goOn() {
		c.header.skip(data)
		return true
	}
	c.header.add(data)
	l, s := c.listener, &c.listener.guard.Settings
	switch {
	case c.header.bytes > s.MaxHeaderBytes:
		l.met(limitHeaderBytes, c.peer.String(), int64(c.header.bytes))
		c.refuse(headerRefusal)
		return false
	case c.header.fields() > s.MaxHeaderFields:
		l.met(limitHeaderFields, c.peer.String(), int64(c.header.fields()))
		c.refuse(headerRefusal)
		return false
	case !c.chargeHeader():
		l.met(limitMemory, c.peer.String(), int64(c.header.bytes))
		c.refuse(memoryRefusal)
		return false
	}
	return true
}

// chargeHeader reserves the memory of a header beyond what every connection may take.
func (c *conn) chargeHeader() bool {
	headerBytes, fields := c.header.size()
	cost := int64(headerByteCost*max(0, headerBytes-freeHeaderBytes) + fieldCost*max(0, fields-freeHeaderFields))
	more := cost - c.headerCharge.Load()
	if more <= 0 {
		return true
	}
	if !c.reserve(more) {
		return false
	}
	if c.headerCharge.Add(more) == more {
		c.listener.guard.holders.add(c)
	}
	return true
}

const (
	headerRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	memoryRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// refuse answers a header that net/http will not see completely, and reads on for a short
// time so that the client receives the answer.
func (c *conn) refuse(answer string) {
	c.writeRefusal(answer)
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// writeRefusal answers, and ends the sending direction. An error means that the client is
// gone.
func (c *conn) writeRefusal(answer string) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, _ = io.WriteString(c.Conn, answer)
	_ = c.CloseWrite()
}

// Write writes to the client.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Store(true)
	defer c.writing.Store(false)
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		c.sent.Add(int64(n))
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetReadDeadline keeps the deadline of a connection that was told to give up its body.
func (c *conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.shed.Load() {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// giveUp ends the read of an unfinished header or body, so that it can be refused.
func (c *conn) giveUp() {
	c.shed.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// CloseWrite lets net/http tell the client that no more data follows an answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and releases what it had reserved.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.closeErr = c.Conn.Close()
		c.listener.remove(c)
		g, header := c.listener.guard, c.headerCharge.Swap(0)
		g.budget.release(c.listener.cost + header + c.requestCharge.Swap(0))
		if header != 0 {
			g.holders.remove(c)
		}
	})
	return c.closeErr
}

// abort closes the socket without the exchange of a TLS close, which may wait for the
// client. The goroutine that serves the connection then calls Close.
func abort(inner net.Conn) {
	if secured, ok := inner.(interface{ NetConn() net.Conn }); ok {
		inner = secured.NetConn()
	}
	_ = inner.Close()
}
