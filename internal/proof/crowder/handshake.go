package crowder

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/quic-go/quic-go"
)

// linkProtocol is the ALPN name of the links between the programs.
const linkProtocol = "burdockrudder/1"

// deafConn is a connection whose owner receives nothing.
type deafConn struct {
	net.Conn
	done <-chan struct{}
}

// Read implements net.Conn. It returns when the connection's client ends.
func (c deafConn) Read([]byte) (int, error) {
	<-c.done
	return 0, net.ErrClosed
}

// hello sends the first flight of a TLS handshake and holds the connection until ctx ends.
func (g *Group) hello(ctx context.Context, number int, sent func()) {
	conn, err := g.dial(ctx, number)
	sent()
	if err != nil {
		return
	}
	defer conn.Close()
	// The handshake sends its first flight and then waits for an answer until ctx ends.
	_ = tls.Client(deafConn{Conn: conn, done: ctx.Done()}, clientTLS()).HandshakeContext(ctx)
	<-ctx.Done()
}

// deafPacketConn is a socket whose owner receives nothing.
type deafPacketConn struct{ net.PacketConn }

// ReadFrom implements net.PacketConn. It discards datagrams until the socket is closed.
func (c deafPacketConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for {
		if _, _, err := c.PacketConn.ReadFrom(buffer); err != nil {
			return 0, nil, err
		}
	}
}

// link opens a link from a socket of its own and holds it until ctx ends. TransportInitial
// receives no answers, so that its handshake stops after the first flight.
func (g *Group) link(ctx context.Context, sent func()) error {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		sent()
		return err
	}
	defer socket.Close()
	transport := &quic.Transport{Conn: socket}
	if g.Crowd.Transport == TransportInitial {
		transport.Conn = deafPacketConn{socket}
	}
	defer transport.Close()
	target, err := net.ResolveUDPAddr("udp", g.Target.Address)
	if err != nil {
		sent()
		return err
	}
	config := clientTLS()
	config.NextProtos = []string{linkProtocol}
	if g.Crowd.Transport == TransportInitial {
		sent()
	}
	conn, err := transport.Dial(ctx, target, config, &quic.Config{HandshakeIdleTimeout: dialTimeout})
	if g.Crowd.Transport == TransportLink {
		sent()
	}
	if err != nil {
		g.report.refused.Add(1)
		<-ctx.Done()
		return nil
	}
	g.report.opened.Add(1)
	<-ctx.Done()
	// The other side is told nothing that it could not find out by its own timeout.
	return conn.CloseWithError(0, "")
}
