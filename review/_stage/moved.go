package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["cancel-moved"] = cancelMoved }

// cancelMoved cancels a job after a new desired state has sent its queue to another
// service.
func cancelMoved(s *stage) verdict {
	both := strings.Replace(routes, `{"name":"s1"}`, `{"name":"s1"},{"name":"s2"}`, 1)
	s.store.setConfig(both)
	first := s.startEntry("entry-1")
	s.startAgent("agent-1", 4000)
	other := s.startAgent("agent-2", 4000)
	other.mu.Lock()
	other.service = "s2"
	other.mu.Unlock()
	s.awaitService(first.front)
	time.Sleep(3 * time.Second)

	// 48 tasks of half a second, two at a time, run for 12 s.
	id := newID()
	job := `{"spec":"500 a long job","best_effort":true,"steps":[{"count":48,"cpu":2000,"mem_mb":64,"estimate_ms":500}]}`
	go s.call(http.MethodPost, first.front, id, job, 30*time.Second)
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		moved := strings.Replace(both, `"service":"s1"`, `"service":"s2"`, 1)
		s.store.setConfig(strings.Replace(moved, `"version":1`, `"version":2`, 1))
		s.note("the desired state sends the queue to s2")
	}
	time.Sleep(500 * time.Millisecond)
	cancelled := s.call(http.MethodDelete, first.front, id, "", 4*time.Second)
	acknowledged := time.Now()
	if cancelled.status/100 != 2 && cancelled.status != http.StatusGone {
		s.note("the cancel is not acknowledged")
		return unable
	}
	time.Sleep(cancelTime + stopTime + 2*time.Second)
	return s.checkCancelled(id, acknowledged)
}
