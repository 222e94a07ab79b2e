package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["forgotten-entries"] = forgottenEntries }

const (
	// cutTime is the longest cut of a machine in the site file.
	cutTime = 12 * time.Second
	// recoverTime is the time that the system has to recover.
	recoverTime = 12 * time.Second
)

// forgottenEntries cuts four of five entries off from the other machines of the system,
// one after the other. Clients reach all entries all the time.
func forgottenEntries(s *stage) verdict {
	s.store.setConfig(routes)
	var entries []*entry
	var fronts []string
	for i := range 5 {
		e := s.startEntry(fmt.Sprint("entry-", i+1))
		entries = append(entries, e)
		fronts = append(fronts, e.front)
	}
	for i := range 4 {
		s.startAgent(fmt.Sprint("agent-", i+1), 4000)
	}
	s.awaitService(fronts...)
	time.Sleep(4 * time.Second)
	b := &balancer{stage: s, entries: entries, misses: map[*entry]int{}}
	go b.probe()

	cuts := entries[1:]
	for i, e := range cuts {
		if i == len(cuts)-1 && !s.isServed("before the final fault", b) {
			return unable
		}
		if s.trouble {
			s.note("%s is cut off from the other machines", e.name)
			e.link.cut.Store(true)
		}
		time.Sleep(cutTime)
		e.link.cut.Store(false)
		s.note("%s is back", e.name)
	}
	time.Sleep(recoverTime)
	if !s.isServed("later than recover_s after the machines are back", b) {
		s.note("RECOVER: less than a quarter of the requests is served")
		return broken
	}
	return held
}

// balancer chooses entries as the platform does: a client's entry is the one of its hash
// among those in rotation. If fewer than half are in rotation, it uses all.
type balancer struct {
	stage   *stage
	entries []*entry
	mu      sync.Mutex
	misses  map[*entry]int
}

// probe asks each entry once a second whether it is ready.
func (b *balancer) probe() {
	client := &http.Client{Timeout: time.Second}
	for {
		for _, e := range b.entries {
			go func() {
				r, err := client.Get("http://" + e.ready + "/api/readiness")
				ready := err == nil && r.StatusCode == http.StatusOK
				if err == nil {
					_ = r.Body.Close()
				}
				b.mu.Lock()
				defer b.mu.Unlock()
				if b.misses[e]++; ready {
					b.misses[e] = 0
				}
			}()
		}
		select {
		case <-b.stage.done:
			return
		case <-time.After(time.Second):
		}
	}
}

func (b *balancer) choose(client int) *entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rotation []*entry
	for _, e := range b.entries {
		if b.misses[e] < 2 {
			rotation = append(rotation, e)
		}
	}
	if 2*len(rotation) < len(b.entries) {
		rotation = b.entries
	}
	return rotation[client%len(rotation)]
}

// isServed sends 100 jobs of as many clients within a second and reports whether a quarter
// of them is served.
func (s *stage) isServed(when string, b *balancer) bool {
	const clients = 100
	job := `{"spec":"20","best_effort":true,"steps":[{"count":1,"cpu":200,"mem_mb":64,"estimate_ms":20}]}`
	served := map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for client := range clients {
		time.Sleep(10 * time.Millisecond)
		e := b.choose(client)
		group.Go(func() {
			r := s.call(http.MethodPost, e.front, newID(), job, 1500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			if r.status == http.StatusOK {
				served[e.name]++
				served["all"]++
			}
		})
	}
	group.Wait()
	s.note("%s, of %d jobs were served: %v", when, clients, served)
	return 4*served["all"] >= clients
}
