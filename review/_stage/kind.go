package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["other-kind"] = otherKind }

// otherKind freezes an entry for half a second. Meanwhile an executor crashes and starts
// again as one of another kind, and clients hand in jobs for the kind that it was.
func otherKind(s *stage) verdict {
	s.store.setConfig(routes)
	e := s.startEntry("entry-1")
	changing := s.startAgent("agent-1", 16000, "a", "r1")
	s.startAgent("agent-2", 16000, "a", "r2")
	s.awaitService(e.front)
	time.Sleep(4 * time.Second)

	job := `{"spec":"100","best_effort":true,"steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":100,"needs":"a"}]}`
	for range 12 {
		var group sync.WaitGroup
		wanted := make(chan string, 100)
		if s.trouble {
			s.signal(e.process, syscall.SIGSTOP)
		}
		changing.setDown(true)
		time.Sleep(200 * time.Millisecond)
		changing.become("b", "r1")
		changing.setDown(false)
		go changing.ping(&http.Client{Timeout: time.Second})
		for range 30 {
			group.Go(func() {
				id := newID()
				wanted <- id
				s.call(http.MethodPost, e.front, id, job, 1500*time.Millisecond)
			})
		}
		time.Sleep(200 * time.Millisecond)
		if s.trouble {
			s.signal(e.process, syscall.SIGCONT)
		}
		group.Wait()
		close(wanted)
		bad := false
		for id := range wanted {
			for _, event := range s.history(id) {
				if event.end == "" && event.executor == changing.id {
					s.note("ROUTE: %s starts %s, which needs label a, and has labels b and r1", event.executor, event.run.Task)
					bad = true
				}
			}
		}
		if bad {
			return broken
		}
		changing.setDown(true)
		time.Sleep(300 * time.Millisecond)
		changing.become("a", "r1")
		changing.setDown(false)
		time.Sleep(3 * time.Second)
	}
	return held
}

// setDown crashes the executor, or starts it again.
func (e *executor) setDown(down bool) {
	e.mu.Lock()
	e.down = down
	e.mu.Unlock()
	e.boot()
}

func (e *executor) become(labels ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.labels = labels
}
