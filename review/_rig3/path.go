package main

import (
	"io"
	"net"
	"sync/atomic"
)

// path is a client's way to an entry. It can reset a connection instead of passing an
// answer on.
type path struct {
	target   string
	listener net.Listener
	reset    atomic.Bool
	onReset  func()
}

func newPath(ip, target string) (*path, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &path{target: target, listener: listener}
	go p.serve()
	return p, nil
}

func (p *path) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(conn.(*net.TCPConn))
	}
}

func (p *path) pass(client *net.TCPConn) {
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
		if n > 0 {
			if p.reset.Load() {
				p.onReset()
				_ = client.SetLinger(0)
				return
			}
			if _, err := client.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
