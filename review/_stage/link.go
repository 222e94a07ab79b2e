package main

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
)

// udpLink forwards the datagrams of the links that other processes dial to an entry.
type udpLink struct {
	target netip.AddrPort
	socket *net.UDPConn
	// cut drops all datagrams in both directions.
	cut atomic.Bool
	mu  sync.Mutex
	out map[netip.AddrPort]*net.UDPConn
}

func newUDPLink(target string) (*udpLink, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	l := &udpLink{target: netip.MustParseAddrPort(target), socket: socket, out: map[netip.AddrPort]*net.UDPConn{}}
	go l.forward()
	return l, nil
}

func (l *udpLink) address() string { return l.socket.LocalAddr().String() }

func (l *udpLink) forward() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := l.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if l.cut.Load() {
			continue
		}
		if out := l.outFor(from); out != nil {
			// A lost datagram is sent again by the process.
			_, _ = out.Write(buffer[:n])
		}
	}
}

func (l *udpLink) outFor(from netip.AddrPort) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if out := l.out[from]; out != nil {
		return out
	}
	out, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(l.target))
	if err != nil {
		return nil
	}
	l.out[from] = out
	go l.forwardBack(out, from)
	return out
}

func (l *udpLink) forwardBack(out *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := out.Read(buffer)
		if errors.Is(err, syscall.ECONNREFUSED) {
			continue
		}
		if err != nil {
			return
		}
		if !l.cut.Load() {
			_, _ = l.socket.WriteToUDPAddrPort(buffer[:n], to)
		}
	}
}
