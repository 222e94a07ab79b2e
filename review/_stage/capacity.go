package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

func init() { cases["ping-without-capacity"] = pingWithoutCapacity }

// pingWithoutCapacity lets another writer send one ping that names an executor and lacks
// its capacity.
func pingWithoutCapacity(s *stage) verdict {
	s.store.setConfig(routes)
	e := s.startEntry("entry-1")
	named := s.startAgent("agent-1", 4000)
	s.startAgent("agent-2", 4000)
	s.awaitService(e.front)
	time.Sleep(3 * time.Second)
	if s.trouble && !named.pingAsOther() {
		return unable
	}
	time.Sleep(500 * time.Millisecond)

	// 32 tasks of a quarter of an executor each, for half a second.
	const milliCPU = 1000
	job := `{"spec":"500","best_effort":true,"steps":[{"count":32,"cpu":1000,"mem_mb":64,"estimate_ms":500}]}`
	id := newID()
	if s.call(http.MethodPost, e.front, id, job, 20*time.Second).status != http.StatusOK {
		return unable
	}
	v := held
	used := map[string]int{}
	for _, event := range s.history(id) {
		if event.end != "" {
			used[event.executor] -= milliCPU
			continue
		}
		used[event.executor] += milliCPU
		if used[event.executor] > named.milliCPU {
			s.note("LIMIT: the start of %s brings %s to %d of %d", event.run.Task, event.executor, used[event.executor], named.milliCPU)
			v = broken
		}
	}
	return v
}

// pingAsOther sends a ping of another writer to the agent beside the executor. It names the
// executor, and the field capacity is missing.
func (e *executor) pingAsOther() bool {
	e.mu.Lock()
	body, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.own, "zone": "sousse", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "seq": e.seq + 1, "born": e.born, "clock_ms": e.emu.Clock(time.Now()).Milliseconds(),
	})
	e.mu.Unlock()
	if err != nil {
		return false
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+e.control+"/api/executors/"+e.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		e.stage.note("the ping of another writer gets no answer: %v", err)
		return false
	}
	_ = response.Body.Close()
	e.stage.note("another writer sends %s; it is answered with %d", body, response.StatusCode)
	return true
}
