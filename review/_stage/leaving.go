package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["leaving-clients"] = leavingClients }

const (
	// memoryLimit is the memory_mb of an edge machine of the site.
	memoryLimit = 284_000_000
	// allowedEnds is how often a process may end by itself in a day.
	allowedEnds = 2
	// restartDelay is the short delay after which the platform restarts a process.
	restartDelay = time.Second
	// crowdSize is the number of clients at each entry. Each sends a job, leaves or waits
	// for the answer, and sends the next one crowdPause later.
	crowdSize  = 40
	crowdPause = 20 * time.Millisecond
	// patience is how long a client stays that leaves without the answer.
	patience = 50 * time.Millisecond
	// crowdTime is the longest time of the crowd.
	crowdTime = 70 * time.Second
)

// crowd counts what the clients of one entry have sent and read.
type crowd struct {
	*entry
	sent, left, answered, refused, unanswered atomic.Int64

	mu sync.Mutex
	// ends is the number of times that the process was ended for its memory.
	ends int
	peak int
}

// leavingClients has clients hand in jobs and leave before the answer. It stands in for
// the platform, too, which kills a process that exceeds its memory, and starts it again.
func leavingClients(s *stage) verdict {
	s.summed = true
	s.store.setConfig(routes)
	crowds := []*crowd{{entry: s.startEntry("entry-1")}, {entry: s.startEntry("entry-2")}}
	for i := range 4 {
		s.startAgent(fmt.Sprint("agent-", i+1), 16000)
	}
	s.awaitService(crowds[0].front, crowds[1].front)
	time.Sleep(4 * time.Second)

	ctx, stop := context.WithTimeout(context.Background(), crowdTime)
	defer stop()
	var clients, watchers sync.WaitGroup
	for _, c := range crowds {
		watchers.Go(func() { c.watch(ctx, s) })
		for range crowdSize {
			clients.Go(func() { c.client(ctx, s.trouble) })
		}
	}
	for second := 0; ctx.Err() == nil; second++ {
		time.Sleep(time.Second)
		over := 0
		for _, c := range crowds {
			if c.state(s, second%5 == 0) > allowedEnds {
				over++
			}
		}
		if over == len(crowds) {
			stop()
		}
	}
	clients.Wait()
	watchers.Wait()

	v := held
	over := 0
	for _, c := range crowds {
		if c.state(s, true) > allowedEnds {
			over++
		}
	}
	s.note("%d runs were started", s.starts())
	if over >= 2 {
		s.note("Fault: on %d machines a process has ended by itself more than %d times, for its memory", over, allowedEnds)
		v = broken
	}
	// Tells whether an ordinary client is served once the crowd has gone.
	s.awaitService(crowds[0].front, crowds[1].front)
	return v
}

// starts returns the number of runs that the executors have begun.
func (s *stage) starts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.events {
		if e.end == "" {
			n++
		}
	}
	return n
}

// state returns how often the process was ended, and notes what was counted so far.
func (c *crowd) state(s *stage, noted bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if noted {
		s.note("%s: %d MB, peak %d MB, ended %d times; jobs: %d sent whole, %d clients left, %d answered 200, %d answered 429 or 503, %d other ends",
			c.name, c.memory()/1e6, c.peak/1e6, c.ends, c.sent.Load(), c.left.Load(), c.answered.Load(), c.refused.Load(), c.unanswered.Load())
	}
	return c.ends
}

// watch ends and restarts the process whenever it exceeds its memory.
func (c *crowd) watch(ctx context.Context, s *stage) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		size := c.memory()
		c.mu.Lock()
		c.peak = max(c.peak, size)
		if size > memoryLimit {
			c.ends++
			s.note("%s takes %d MB, more than its memory, and is killed", c.name, size/1e6)
			s.kill(c.process)
			time.Sleep(restartDelay)
			s.start(c.process)
		}
		c.mu.Unlock()
	}
}

// memory returns the resident memory of the process in bytes.
func (c *crowd) memory() int {
	// A process that has ended has none.
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.command.Process.Pid))
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.Atoi(fields[0])
	return kilobytes * 1024
}

// crowdJob is a job of a small task and 199 that wait for its end, with the longest spec
// that the pages allow.
var crowdJob = fmt.Sprintf(`{"spec":"1000 %s","best_effort":true,"steps":[{"count":1,"cpu":100,"mem_mb":64,"estimate_ms":1000},`+
	`{"count":199,"cpu":100,"mem_mb":64,"estimate_ms":1000,"after":[0]}]}`, strings.Repeat("x", 3995))

// client hands in one job after the other, each on a connection of its own.
func (c *crowd) client(ctx context.Context, leaves bool) {
	for ctx.Err() == nil {
		c.submit(leaves)
		time.Sleep(crowdPause)
	}
}

func (c *crowd) submit(leaves bool) {
	conn, err := net.Dial("tcp", c.front)
	if err != nil {
		// The process is being restarted.
		return
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /q/%s HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\nDeadline-Ms: 10000\r\n"+
		"Content-Length: %d\r\n\r\n%s", newID(), len(crowdJob), crowdJob)
	if err != nil {
		c.unanswered.Add(1)
		return
	}
	c.sent.Add(1)
	stay := 11 * time.Second
	if leaves {
		stay = patience
	}
	// Fails for a closed connection only, as does the call after it.
	_ = conn.SetReadDeadline(time.Now().Add(stay))
	answer := make([]byte, len("HTTP/1.1 200"))
	n, err := conn.Read(answer)
	switch status, _ := strconv.Atoi(strings.TrimPrefix(string(answer[:n]), "HTTP/1.1 ")); {
	case status == http.StatusOK:
		c.answered.Add(1)
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		c.refused.Add(1)
	case leaves && os.IsTimeout(err):
		c.left.Add(1)
	default:
		c.unanswered.Add(1)
	}
}
