package main

import (
	"net"
	"time"
)

// delay is a client's way to an entry on which everything arrives late, in both
// directions, the end of a connection too.
type delay struct {
	target   string
	listener net.Listener
	late     time.Duration
}

// piece is what was read at one time; nil is the end of the connection.
type piece struct {
	data []byte
	due  time.Time
}

func newDelay(ip, target string, late time.Duration) (*delay, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	d := &delay{target: target, listener: listener, late: late}
	go d.serve()
	return d, nil
}

func (d *delay) serve() {
	for {
		client, err := d.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", d.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		go d.pass(client, server)
		go d.pass(server, client)
	}
}

// pass carries one direction of a connection.
func (d *delay) pass(from, to net.Conn) {
	pieces := make(chan piece, 1000)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if p.data == nil {
				_ = to.Close()
				return
			}
			// A failed write means that the other side has ended the connection.
			_, _ = to.Write(p.data)
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			pieces <- piece{data: append([]byte{}, buffer[:n]...), due: time.Now().Add(d.late)}
		}
		if err != nil {
			pieces <- piece{due: time.Now().Add(d.late)}
			return
		}
	}
}
