package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// result is what a client sees of one request. Status 0 means that the connection ended
// without a complete answer.
type result struct {
	status  int
	body    string
	err     error
	sentAt  time.Time
	endedAt time.Time
	// closes is true if the answer says that the connection will be closed.
	closes bool
}

// connection is a client's open connection.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// exchange sends a request and reads its answer, for at most patience.
func (c *connection) exchange(method, host, path, body string, deadlineMS int, patience time.Duration) result {
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, deadlineMS, len(body), body)
	r := result{}
	_, r.err = io.WriteString(c, request)
	r.sentAt = time.Now()
	if r.err == nil {
		_ = c.SetReadDeadline(r.sentAt.Add(patience))
		var response *http.Response
		response, r.err = http.ReadResponse(c.reader, &http.Request{Method: method})
		if r.err == nil {
			defer response.Body.Close()
			var data []byte
			data, r.err = io.ReadAll(response.Body)
			if r.err == nil {
				r.status, r.body, r.closes = response.StatusCode, strings.TrimSpace(string(data)), response.Close
			}
		}
	}
	r.endedAt = time.Now()
	return r
}

// request sends one request on a new connection.
func request(address, method, host, path, body string, deadlineMS int, patience time.Duration) result {
	conn, err := dial(address)
	if err != nil {
		return result{err: err, sentAt: time.Now(), endedAt: time.Now()}
	}
	defer conn.Close()
	return conn.exchange(method, host, path, body, deadlineMS, patience)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job returns the body of a job with one step that needn't be stored.
func job(count, cpu, ms int) string {
	return fmt.Sprintf(`{"spec":"%d","best_effort":true,"steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":%d}]}`, ms, count, cpu, ms)
}
