package main

import (
	"io"
	"net"
	"sync/atomic"
)

// proxy forwards TCP connections to a target.
type proxy struct {
	target   string
	listener net.Listener
	// resetOnAnswer resets a connection when the target begins its answer.
	resetOnAnswer atomic.Bool
}

func (s *stage) proxy(target string) *proxy {
	listener, err := net.Listen("tcp", freeAddress())
	s.must(err)
	p := &proxy{target: target, listener: listener}
	go p.serve()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client.(*net.TCPConn))
	}
}

func (p *proxy) forward(client *net.TCPConn) {
	defer client.Close()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		_, _ = io.Copy(server, client)
		_ = server.(*net.TCPConn).CloseWrite()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := server.Read(buffer)
		if n > 0 && p.resetOnAnswer.Load() {
			// With a linger time of 0, closing sends a reset.
			_ = client.SetLinger(0)
			return
		}
		if _, writeErr := client.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}
