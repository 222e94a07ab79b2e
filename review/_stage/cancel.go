package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["cancel-settled"] = cancelSettled }

// The bounds of the platform's pages.
const (
	resend     = 1300 * time.Millisecond
	cancelTime = 3000 * time.Millisecond
	stopTime   = 50 * time.Millisecond
)

// cancelSettled loses the answer to a job, as a reset connection does. The client sends
// the job again, to another entry, and later cancels it at the first one.
func cancelSettled(s *stage) verdict {
	s.store.setConfig(routes)
	first, second := s.startEntry("entry-1"), s.startEntry("entry-2")
	s.startAgent("agent-1", 4000)
	s.startAgent("agent-2", 4000)
	s.awaitService(first.front, second.front)
	door := s.proxy(first.front)
	time.Sleep(time.Second)

	// 48 tasks of half a second, four at a time, run for 6 s.
	id := newID()
	job := `{"spec":"500 a long job","best_effort":true,"steps":[{"count":48,"cpu":2000,"mem_mb":64,"estimate_ms":500}]}`
	door.resetOnAnswer.Store(s.trouble)
	answered := s.call(http.MethodPost, door.address(), id, job, 30*time.Second)
	if !s.trouble {
		if answered.status != http.StatusOK {
			return unable
		}
	} else {
		if answered.status != 0 {
			return unable
		}
		time.Sleep(resend)
		go s.call(http.MethodPost, second.front, id, job, 30*time.Second)
		time.Sleep(700 * time.Millisecond)
	}
	cancelled := s.call(http.MethodDelete, first.front, id, "", 4*time.Second)
	acknowledged := time.Now()
	if cancelled.status/100 != 2 && cancelled.status != http.StatusGone {
		s.note("the cancel is not acknowledged")
		return unable
	}
	time.Sleep(cancelTime + stopTime + 2*time.Second)
	return s.checkCancelled(id, acknowledged)
}

// checkCancelled checks that no task of a job starts later than cancelTime, and that none
// runs later than stopTime after that.
func (s *stage) checkCancelled(id string, acknowledged time.Time) verdict {
	v := held
	open := map[string]runEvent{}
	for _, e := range s.history(id) {
		key := e.executor + " " + e.run.Task
		switch e.end {
		case "":
			if late := e.at.Sub(acknowledged); late > cancelTime {
				s.note("UNASKED: %s starts %s %.3f s after the cancel was acknowledged", e.executor, e.run.Task, late.Seconds())
				v = broken
			}
			open[key] = e
		default:
			delete(open, key)
			if late := e.at.Sub(acknowledged); late > cancelTime+stopTime {
				s.note("UNASKED: %s runs until %.3f s after the cancel was acknowledged", strings.TrimSpace(key), late.Seconds())
				v = broken
			}
		}
	}
	for key := range open {
		s.note("UNASKED: %s still runs", key)
		v = broken
	}
	return v
}
