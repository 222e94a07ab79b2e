package main

import (
	"net/http"
	"time"
)

func init() { cases["cancel-added"] = cancelAdded }

// cancelAdded adds an entry to two others, as the platform does when it adds machines. A
// client submits a job to the new entry as soon as that takes it, and cancels it at the
// entry that has renewed its row in the store less recently.
func cancelAdded(s *stage) verdict {
	s.store.setConfig(routes)
	entries := []*entry{s.startEntry("entry-1")}
	// Machines start within 0.3 s of each other, but processes that were restarted since
	// have any other phase.
	time.Sleep(1500 * time.Millisecond)
	entries = append(entries, s.startEntry("entry-2"))
	if !s.trouble {
		entries = append(entries, s.startEntry("entry-3"))
	}
	s.startAgent("agent-1", 4000)
	s.startAgent("agent-2", 4000)
	for _, e := range entries {
		s.awaitService(e.front)
	}
	time.Sleep(8 * time.Second)
	if s.trouble {
		entries = append(entries, s.startEntry("entry-3"))
	}
	added := entries[2]
	s.awaitService(added.front)

	// 96 tasks of half a second, four at a time, run for 12 s.
	id := newID()
	job := `{"spec":"500 a long job","best_effort":true,"steps":[{"count":96,"cpu":2000,"mem_mb":64,"estimate_ms":500}]}`
	go s.call(http.MethodPost, added.front, id, job, 30*time.Second)
	time.Sleep(300 * time.Millisecond)
	at := entries[0]
	if at.store.lastWrite().After(entries[1].store.lastWrite()) {
		at = entries[1]
	}
	cancelled := s.call(http.MethodDelete, at.front, id, "", 4*time.Second)
	acknowledged := time.Now()
	if cancelled.status/100 != 2 && cancelled.status != http.StatusGone {
		s.note("the cancel is not acknowledged")
		return unable
	}
	time.Sleep(cancelTime + stopTime + 2*time.Second)
	return s.checkCancelled(id, acknowledged)
}
