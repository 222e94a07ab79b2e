package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["cancel-unlinked"] = cancelUnlinked }

const (
	// ackTime is the time in which a cancel is acknowledged.
	ackTime = 4000 * time.Millisecond
	// fleetEntries is above the number of entries to which an entry links.
	fleetEntries = 20
	// fleetPairs is the number of pairs of entries that are tried.
	fleetPairs = 4
)

// cancelUnlinked cancels jobs at entries of a fleet in which not every entry is linked to
// every other. It has no disruption: TROUBLE=0 makes the fleet small.
func cancelUnlinked(s *stage) verdict {
	s.store.setConfig(routes)
	number := fleetEntries
	if !s.trouble {
		number = 4
	}
	var entries []*entry
	for i := range number {
		entries = append(entries, s.startEntry(fmt.Sprintf("entry-%02d", i)))
	}
	for i := range 4 {
		s.startAgent(fmt.Sprint("agent-", i), 16000)
	}
	s.awaitService(entries[0].front)
	time.Sleep(10 * time.Second)
	job := `{"spec":"500 a long job","best_effort":true,"steps":[{"count":200,"cpu":8000,"mem_mb":64,"estimate_ms":500}]}`
	v := held
	for pair := range fleetPairs {
		other := entries[1+pair*3%(number-1)]
		id := newID()
		go s.call(http.MethodPost, entries[0].front, id, job, 30*time.Second)
		time.Sleep(300 * time.Millisecond)
		sent := time.Now()
		if s.cancelWithin(other, id) {
			continue
		}
		s.note("%s does not acknowledge the cancel of %s within %v", other.name, id, ackTime)
		// The task has to be gone cancelTime after a cancel has waited for ackTime.
		time.Sleep(time.Until(sent.Add(ackTime + cancelTime + time.Second)))
		if s.checkCancelled(id, sent.Add(ackTime)) == broken {
			v = broken
		}
		s.call(http.MethodDelete, entries[0].front, id, "", ackTime)
	}
	return v
}

// cancelWithin repeats a cancel until it is acknowledged, for ackTime.
func (s *stage) cancelWithin(e *entry, id string) bool {
	for end := time.Now().Add(ackTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		r := s.call(http.MethodDelete, e.front, id, "", ackTime)
		if r.status/100 == 2 || r.status == http.StatusGone {
			return true
		}
	}
	return false
}
