package guard

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"time"
)

type connKey struct{}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

const (
	// retryAfter is the time after which a client may repeat a request that found no
	// memory: most requests are answered within it.
	retryAfter = time.Second
	// firstBodyBytes is the size of the first buffer for a body. It grows by doubling.
	firstBodyBytes = 4 << 10
)

// Refusal is the error of a request that has met a limit and was not passed on.
type Refusal struct {
	Status int
	// RetryAfter is 0 if the same request would be refused again.
	RetryAfter time.Duration
	Reason     string
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason }

// SetHeader sets Retry-After and closes the connection after the answer: the rest of the
// body has not been read.
func (r *Refusal) SetHeader(header http.Header) {
	header.Set("Connection", "close")
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(r.RetryAfter/time.Second)))
	}
}

func (r *Refusal) answer(w http.ResponseWriter) {
	r.SetHeader(w.Header())
	w.WriteHeader(r.Status)
}

func noMemory() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, RetryAfter: retryAfter,
		Reason: "not run: the memory for requests is used up",
	}
}

// awaitRequest is called when the previous request has been answered.
func (c *conn) awaitRequest() {
	c.header.begin()
	c.receivedBefore = c.received.Load()
	c.enter(phaseIdle)
}

// beginRequest reports false if the connection is being closed.
func (c *conn) beginRequest() bool {
	if c.requests.Add(1) > 1 && c.received.Load() == c.receivedBefore {
		// The request was sent ahead. Without a wait for the network between requests, the
		// connection would keep its processor for a whole time slice, and 300 such
		// connections delayed the decisions by seconds.
		runtime.Gosched()
	}
	c.reserved.Store(false)
	if c.headerCharge.Load() != 0 {
		c.listener.guard.holders.remove(c)
	}
	return c.enter(phaseAnswer)
}

// endRequest releases what the request has reserved, and bounds the time for the rest of
// its body.
func (c *conn) endRequest(r *http.Request) {
	c.listener.guard.budget.release(c.headerCharge.Swap(0) + c.requestCharge.Swap(0))
	if r.ContentLength != 0 {
		c.enter(phaseDiscard)
	}
}

func (l *Listener) handler(next http.Handler) http.Handler {
	if next == nil {
		next = http.DefaultServeMux
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest() {
			// A return would be answered with 200.
			panic(http.ErrAbortHandler)
		}
		defer c.endRequest(r)
		if c.shed.Load() {
			// The header was complete when it was given up, and nothing more can be read.
			noMemory().answer(w)
			return
		}
		if fields := len(r.Header); fields > l.guard.Settings.MaxHeaderFields {
			l.met(limitHeaderFields, c.peer.String(), int64(fields))
			(&Refusal{Status: http.StatusRequestHeaderFieldsTooLarge}).answer(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ReadBody reads a request's body of at most limit bytes. Its buffer grows as bytes
// arrive, and each step is reserved before it is allocated. The reservation is released
// when the handler returns. The error is a *Refusal if a limit was met.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	c := connOf(r.Context())
	if r.ContentLength > limit {
		c.metBody(limitBodyBytes, r.ContentLength)
		return nil, tooLarge(limit)
	}
	if c == nil {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		return body, bodyError(err, nil, limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	holders := &c.listener.guard.holders
	c.enter(phaseBody)
	holders.add(c)
	body, err := c.readBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	if err != nil {
		body = nil
		c.listener.guard.budget.release(c.requestCharge.Swap(0))
	}
	holders.remove(c)
	switch {
	case err != nil:
		return nil, bodyError(err, c, limit)
	case c.shed.Load():
		// The last byte arrived when the body was given up. The connection can't be read
		// any more, so a call that is passed on would count as abandoned.
		return nil, noMemory()
	case !c.enter(phaseAnswer):
		return nil, net.ErrClosed
	}
	return body, nil
}

// readBody reads to the end of the body, or to an error. A declared length of -1 is
// unknown.
func (c *conn) readBody(body io.Reader, declared, limit int64) ([]byte, error) {
	most := limit
	if declared >= 0 {
		most = declared
	}
	var buffer []byte
	pieceAt := 0
	for {
		if len(buffer) == cap(buffer) {
			grown, err := c.grow(buffer, most)
			if err != nil {
				return nil, err
			}
			buffer = grown
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if len(buffer)-pieceAt >= firstBodyBytes {
			pieceAt = len(buffer)
			c.since.Store(int64(c.listener.guard.now()))
		}
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a larger copy of a full buffer. Both exist while the data is copied, so
// the old one is released last.
func (c *conn) grow(buffer []byte, most int64) ([]byte, error) {
	old := int64(cap(buffer))
	// One more byte than the longest body makes room for the read that finds its end.
	size := min(max(firstBodyBytes, 2*old), most+1)
	if size <= old {
		size = old + 1
	}
	if !c.reserve(size) {
		c.listener.met(limitMemory, c.peer.String(), size)
		return nil, noMemory()
	}
	c.requestCharge.Add(size)
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	c.requestCharge.Add(-old)
	c.listener.guard.budget.release(old)
	return grown, nil
}

func bodyError(err error, c *conn, limit int64) error {
	var oversize *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &oversize):
		c.metBody(limitBodyBytes, limit)
		return tooLarge(limit)
	case errors.Is(err, errShed):
		return noMemory()
	default:
		return err
	}
}

func (c *conn) metBody(which limit, value int64) {
	if c != nil {
		c.listener.met(which, c.peer.String(), value)
	}
}

func tooLarge(limit int64) *Refusal {
	return &Refusal{
		Status: http.StatusRequestEntityTooLarge, Reason: fmt.Sprintf("the body exceeds %d bytes", limit),
	}
}

// Charge reserves memory that a request will take until its handler returns. It returns
// nil, or the refusal if the memory is not left.
func Charge(r *http.Request, bytes int64) *Refusal {
	c := connOf(r.Context())
	if c == nil {
		return nil
	}
	l := c.listener
	if !l.guard.budget.canFit(bytes, c.class()) {
		l.met(limitMemory, c.peer.String(), bytes)
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "the request takes more memory than there is"}
	}
	if !c.reserve(bytes) {
		l.met(limitMemory, c.peer.String(), bytes)
		return noMemory()
	}
	c.requestCharge.Add(bytes)
	return nil
}

// UseReserve lets a request use the part of the budget that callers cannot use, for
// operators' requests on a listener for callers.
func UseReserve(r *http.Request) {
	if c := connOf(r.Context()); c != nil {
		c.reserved.Store(true)
	}
}

func (c *conn) class() Class {
	if c.reserved.Load() {
		return Reserved
	}
	return c.listener.class
}

// Release returns a part of what the request has reserved.
func Release(r *http.Request, bytes int64) {
	if c := connOf(r.Context()); c != nil {
		c.requestCharge.Add(-bytes)
		c.listener.guard.budget.release(bytes)
	}
}

// Detach takes what the request has reserved out of the request, for work that outlives
// its handler. The returned function releases it.
func Detach(r *http.Request) (release func()) {
	c := connOf(r.Context())
	if c == nil {
		return func() {}
	}
	bytes := c.requestCharge.Swap(0)
	return func() { c.listener.guard.budget.release(bytes) }
}
