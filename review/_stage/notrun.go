package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["refused-ran"] = refusedRan }

// refusedRan cuts an entry off from the other machines of the system for 9 s, while tasks
// of its jobs run. Their leases lapse, and jobs of the other entry take the room. After the
// cut, the jobs of the entry find no room until their time budget ends.
func refusedRan(s *stage) verdict {
	// The jobs wait for room rather than be refused at once.
	patient := strings.NewReplacer(`"timeout_ms":30000`, `"timeout_ms":18000`, `"target_latency_ms":20000`, `"target_latency_ms":200000`).
		Replace(routes)
	s.store.setConfig(patient)
	other, cut := s.startEntry("entry-1"), s.startEntry("entry-2")
	const agents = 5
	for i := range agents {
		s.startAgent(fmt.Sprint("agent-", i+1), 2000)
	}
	s.awaitService(other.front, cut.front)
	time.Sleep(4 * time.Second)

	// Each task takes all of an executor.
	long := `{"spec":"40000 a long task","best_effort":true,"steps":[{"count":1,"cpu":2000,"mem_mb":64,"estimate_ms":40000}]}`
	type result struct {
		id string
		response
	}
	answered := make(chan result, agents)
	for range agents {
		go func() {
			id := newID()
			answered <- result{id, s.call(http.MethodPost, cut.front, id, long, 0)}
		}()
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.note("entry-2 is cut off from the other machines")
		cut.link.cut.Store(true)
		time.AfterFunc(9*time.Second, func() {
			s.note("entry-2 is back")
			cut.link.cut.Store(false)
		})
	}
	time.Sleep(3 * time.Second)
	// One task for each executor, and one for each agent's queue.
	for range 2 * agents {
		go s.call(http.MethodPost, other.front, newID(), long, 40*time.Second)
	}
	v := held
	for range agents {
		r := <-answered
		rejected := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
		if rejected && len(s.history(r.id)) > 0 {
			s.note("REFUSED: %s was rejected with %d, and a task of it has started", r.id, r.status)
			v = broken
		}
	}
	return v
}
