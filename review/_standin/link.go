package main

import (
	"net"
	"net/netip"
	"sync"
)

// link forwards datagrams to the link address of an entry, and back. Each sender's
// datagrams arrive from a port of their own.
type link struct {
	target netip.AddrPort
	socket *net.UDPConn

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
	// newOwner is the process to which new senders belong.
	newOwner string
	// cut is the process whose datagrams to the entry are lost.
	cut string
	// muted is the process whose open connections are silent: what the entry sends on them
	// is lost. New connections work.
	muted string
}

type flow struct {
	owner  string
	socket *net.UDPConn
	// open holds the connection ids of the sender's connections that were open before the
	// last silence, as the entry writes them.
	open map[string]bool
}

// The layout of a short-header QUIC packet: the first bit is zero, and the receiver's
// connection id follows. The project's processes use ids of four bytes.
const (
	longHeaderBit = 0x80
	idEnd         = 5
)

// connectionID returns the connection id of a packet of an open connection.
func connectionID(packet []byte) (id string, open bool) {
	if len(packet) < idEnd || packet[0]&longHeaderBit != 0 {
		return "", false
	}
	return string(packet[1:idEnd]), true
}

const maxDatagram = 2048

func newLink(target string) (*link, error) {
	address, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &link{target: address, socket: socket, flows: map[netip.AddrPort]*flow{}}, nil
}

func (l *link) address() string { return l.socket.LocalAddr().String() }

func (l *link) setOwner(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newOwner = name
}

func (l *link) setCut(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = name
}

func (l *link) setMuted(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.muted = name
}

// isLost reports whether a packet that the entry sends to a process is lost.
func (l *link) isLost(f *flow, packet []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, open := connectionID(packet)
	if !open {
		return false
	}
	if f.owner != l.muted {
		f.open[id] = true
		return false
	}
	return f.open[id]
}

func (l *link) close() {
	_ = l.socket.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.flows {
		_ = f.socket.Close()
	}
}

// serve forwards the senders' datagrams until the link is closed.
func (l *link) serve() error {
	var back sync.WaitGroup
	defer back.Wait()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := l.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil
		}
		f, isCut := l.flowOf(from, &back)
		if f != nil && !isCut {
			// A datagram may be lost.
			_, _ = f.socket.Write(buffer[:n])
		}
	}
}

func (l *link) flowOf(from netip.AddrPort, back *sync.WaitGroup) (found *flow, isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.flows[from]; f != nil {
		return f, f.owner == l.cut
	}
	socket, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(l.target))
	if err != nil {
		return nil, false
	}
	f := &flow{owner: l.newOwner, socket: socket, open: map[string]bool{}}
	l.flows[from] = f
	back.Go(func() {
		buffer := make([]byte, maxDatagram)
		for {
			n, err := socket.Read(buffer)
			if err != nil {
				return
			}
			if !l.isLost(f, buffer[:n]) {
				_, _ = l.socket.WriteToUDPAddrPort(buffer[:n], from)
			}
		}
	})
	return f, f.owner == l.cut
}
