package runner

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/quic-go/quic-go/testutils/simnet"
)

// memoryNetwork is a network in memory without delay.
type memoryNetwork struct {
	packets simnet.PerfectRouter

	mu        sync.Mutex
	ports     int
	listeners map[string]*memoryListener
}

// port returns an unused port.
func (m *memoryNetwork) port() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ports++
	return m.ports
}

// loopbackIP is the address that the certificates of entries name. It is always in
// the four-byte form, because the router treats the longer form as another address.
func loopbackIP() net.IP { return net.IPv4(127, 0, 0, 1).To4() }

func (m *memoryNetwork) listenPacket() (net.PacketConn, error) {
	return simnet.NewSimConn(&net.UDPAddr{IP: loopbackIP(), Port: m.port()}, &m.packets), nil
}

func (m *memoryNetwork) listen() (net.Listener, error) {
	l := &memoryListener{
		address: &net.TCPAddr{IP: loopbackIP(), Port: m.port()},
		conns:   make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners == nil {
		m.listeners = make(map[string]*memoryListener)
	}
	m.listeners[l.address.String()] = l
	return l, nil
}

func (m *memoryNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[address]
	m.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %s: no listener at this address", address)
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial %s: %w", address, net.ErrClosed)
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// memoryListener passes the server ends of dialed connections to Accept.
type memoryListener struct {
	address *net.TCPAddr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }
