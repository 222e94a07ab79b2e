package crowder

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	dialTimeout     = 5 * time.Second
	defaultSendTime = 4 * time.Second
	// endTime bounds the wait for the end of a connection before the next one is opened.
	endTime = 50 * time.Millisecond
	// slowReadPause is the pause of a slow reader after each byte.
	slowReadPause = 100 * time.Millisecond
	// receiveBuffer keeps the answers that the kernel takes for a client small.
	receiveBuffer = 2048
	// addresses is the number of source addresses from which the clients connect, in turn,
	// counted from 127.0.0.2. Ordinary clients of a test connect from 127.0.0.1.
	addresses = 8
	// writeBlock is the size of the writes of clients that send without pauses.
	writeBlock = 64 << 10
)

// Group directs a crowd at a target. Its fields must be set before Run.
type Group struct {
	Crowd       *Crowd
	Target      Target
	Connections int
	// Held is called when all clients have sent or the time to send is over; their
	// connections stay open until it returns.
	Held func()

	report report
}

// Report counts the connections of a group.
type Report struct {
	// Opened were established, Refused were not, Sent sent all parts. Broken ended before.
	Opened, Refused, Sent, Broken int
	// Bytes is the number of bytes sent.
	Bytes int64
}

type report struct {
	opened, refused, sent, broken, bytes atomic.Int64
}

// Run opens the connections, sends, holds them open while Held runs, and closes them. A
// connection that the other side refuses or closes is no error.
func (g *Group) Run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sendTime := defaultSendTime
	if g.Crowd.SendMS > 0 {
		sendTime = milliseconds(g.Crowd.SendMS)
	}
	sendCtx, stopSending := context.WithTimeout(ctx, sendTime)
	defer stopSending()
	var clients errgroup.Group
	sent := make(chan struct{}, g.Connections)
	for number := range g.Connections {
		clients.Go(func() error { return g.client(ctx, sendCtx, number, sent) })
	}
	for range g.Connections {
		select {
		case <-sent:
		case <-sendCtx.Done():
		}
	}
	g.Held()
	cancel()
	err := clients.Wait()
	return Report{
		Opened: int(g.report.opened.Load()), Refused: int(g.report.refused.Load()), Sent: int(g.report.sent.Load()),
		Broken: int(g.report.broken.Load()), Bytes: g.report.bytes.Load(),
	}, err
}

// client runs one client until ctx ends. It sends until sendCtx ends, and then reports to
// sent.
func (g *Group) client(ctx, sendCtx context.Context, number int, sent chan<- struct{}) error {
	done := func() { sent <- struct{}{} }
	switch g.Crowd.Transport {
	case "", TransportTCP:
		if g.Crowd.Times == 0 {
			g.connection(ctx, sendCtx, number, done)
			return nil
		}
		defer done()
		for range g.Crowd.Times {
			if sendCtx.Err() != nil {
				return nil
			}
			connCtx, cancel := context.WithCancel(ctx)
			g.connection(connCtx, sendCtx, number, func() { time.AfterFunc(endTime, cancel) })
			cancel()
		}
		return nil
	case TransportHello:
		g.hello(ctx, number, done)
		return nil
	case TransportInitial, TransportLink:
		return g.link(ctx, done)
	default:
		return fmt.Errorf("crowd %q: unknown transport %q", g.Crowd.Name, g.Crowd.Transport)
	}
}

func (g *Group) dial(ctx context.Context, number int) (net.Conn, error) {
	source := net.IPv4(127, 0, 0, byte(2+number%addresses))
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: source}}
	conn, err := dialer.DialContext(ctx, "tcp", g.Target.Address)
	if err != nil {
		g.report.refused.Add(1)
		return nil, err
	}
	g.report.opened.Add(1)
	if conn, isTCP := conn.(*net.TCPConn); isTCP {
		// Only the amount of data that the kernel buffers depends on the size.
		_ = conn.SetReadBuffer(receiveBuffer)
	}
	return conn, nil
}

// connection runs one TCP connection until ctx ends or, if it reads, the other side closes.
func (g *Group) connection(ctx, sendCtx context.Context, number int, sent func()) {
	raw, err := g.dial(sendCtx, number)
	if err != nil {
		sent()
		return
	}
	defer raw.Close()
	defer context.AfterFunc(ctx, func() { _ = raw.Close() })()
	conn := raw
	if g.Crowd.TLS == TLSClients {
		conn = tls.Client(raw, clientTLS())
	}
	var reader errgroup.Group
	ended := make(chan struct{})
	reader.Go(func() error {
		defer close(ended)
		g.read(ctx, conn)
		return nil
	})
	g.countEnd(g.send(sendCtx, conn))
	if closer, ok := conn.(interface{ CloseWrite() error }); ok && g.Crowd.HalfClose {
		// It fails only if the other side has closed the connection.
		_ = closer.CloseWrite()
	}
	if g.Crowd.Answered {
		select {
		case <-ended:
		case <-sendCtx.Done():
		}
	}
	sent()
	if g.Crowd.Read == "" || g.Crowd.Read == ReadNothing {
		<-ctx.Done()
	}
	_ = reader.Wait()
}

// clientTLS returns the configuration of a client that accepts any certificate.
func clientTLS() *tls.Config {
	return &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS12}
}

func (g *Group) countEnd(err error) {
	switch {
	case err == nil:
		g.report.sent.Add(1)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled), errors.Is(err, os.ErrDeadlineExceeded):
		// The time to send is over.
	default:
		g.report.broken.Add(1)
	}
}

func (g *Group) read(ctx context.Context, conn net.Conn) {
	switch g.Crowd.Read {
	case ReadAll:
		// The connection ends with an error in most cases.
		_, _ = io.Copy(io.Discard, conn)
	case ReadSlowly:
		one := make([]byte, 1)
		for {
			if _, err := conn.Read(one); err != nil {
				return
			}
			if !pause(ctx, slowReadPause) {
				return
			}
		}
	}
}

// send sends the parts of the crowd until ctx ends.
func (g *Group) send(ctx context.Context, conn net.Conn) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetWriteDeadline(deadline); err != nil {
			return err
		}
	}
	for _, b := range g.Crowd.blocks(g.Target) {
		if err := g.sendBlock(ctx, conn, b); err != nil {
			return err
		}
	}
	return nil
}

// sendBlock sends the repetitions of a block, in pieces of the crowd's size.
func (g *Group) sendBlock(ctx context.Context, conn net.Conn, b block) error {
	piece := g.Crowd.PieceBytes
	if piece == 0 {
		piece = writeBlock
	}
	step := max(1, piece/max(1, len(b.text)))
	repeated := strings.Repeat(b.text, min(step, b.times))
	for left := b.times; left > 0; left -= step {
		for rest := repeated[:len(b.text)*min(step, left)]; rest != ""; {
			n, err := io.WriteString(conn, rest[:min(len(rest), piece)])
			g.report.bytes.Add(int64(n))
			if err != nil {
				return err
			}
			rest = rest[n:]
			if !pause(ctx, milliseconds(g.Crowd.PauseMS)) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// pause waits and reports whether ctx has not ended.
func pause(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	return ctx.Err() == nil
}
