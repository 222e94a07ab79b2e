package runner

import (
	"context"
	"fmt"
	"net"
)

// network connects the processes of a cluster. It returns listeners and sockets that
// are already bound: a port that was only found to be free could be taken by another
// cluster on this machine before it is used.
type network interface {
	listen() (net.Listener, error)
	listenPacket() (net.PacketConn, error)
	dial(ctx context.Context, network, address string) (net.Conn, error)
}

// loopback is the loopback network of this machine.
type loopback struct{}

func (loopback) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	return listener, nil
}

func (loopback) listenPacket() (net.PacketConn, error) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	return socket, nil
}

func (loopback) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, address)
}
