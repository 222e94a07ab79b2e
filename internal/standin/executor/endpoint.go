// Package executor is a stand-in for a firm's endpoint. It runs tasks whose
// payload states how long they take and whether they fail.
package executor

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/edge/invoker"
)

// PathCounters returns Counters.
const PathCounters = "/v1/counters"

// Payload is the JSON payload of a task.
type Payload struct {
	RunTimeMS float64 `json:"run_time_ms"`
	// Fail is the reason of the failure that the task reports.
	Fail string `json:"fail,omitempty"`
	// Hang keeps the task running until its caller disconnects or the endpoint stops.
	Hang bool `json:"hang,omitempty"`
	// Label must be one of the endpoint's labels.
	Label string `json:"label,omitempty"`
	// Echo is returned in the result.
	Echo json.RawMessage `json:"echo,omitempty"`
}

// Result is the JSON result of a task.
type Result struct {
	Echo json.RawMessage `json:"echo,omitempty"`
}

// Counters holds the totals since the endpoint started.
type Counters struct {
	Starts uint64 `json:"starts"`
	// DoubleStarts counts the starts of a task that had been started before.
	DoubleStarts uint64 `json:"double_starts"`
	Finished     uint64 `json:"finished"`
	// SlotViolations counts the tasks refused because all slots were busy,
	// ConnectionViolations the connections closed because they exceeded the limit.
	SlotViolations       uint64 `json:"slot_violations"`
	ConnectionViolations uint64 `json:"connection_violations"`
	Running              int    `json:"running"`
	MostRunning          int    `json:"most_running"`
}

// Endpoint is the stand-in. Its fields are set before the first request.
type Endpoint struct {
	Service string
	Slots   int
	// Connections is the limit of open connections; zero means no limit.
	Connections int
	Labels      []string
	// Speed divides the run times; zero means 1.
	Speed float64
	// Agent is the base URL of the agent; empty means no announcements.
	Agent string
	// HTTP sends the announcements; nil means http.DefaultClient.
	HTTP *http.Client
	// OnStart and OnEnd, if set, are called when a task starts and when it has
	// finished. The task is firm/service/submission#index, escaped as in the headers.
	OnStart func(task string)
	OnEnd   func(task string, runTime time.Duration)

	mu              sync.Mutex
	draining        bool
	openConnections map[net.Conn]bool
	starts          map[string]int
	counters        Counters
	stopped         chan struct{}
}

// Handler serves tasks and counters.
func (e *Endpoint) Handler() http.Handler {
	e.mu.Lock()
	if e.starts == nil {
		e.starts = map[string]int{}
		e.openConnections = map[net.Conn]bool{}
		e.stopped = make(chan struct{})
	}
	e.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+invoker.PathTasks, e.serveTask)
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, e.Counters())
	})
	return mux
}

// Counters returns the current counters.
func (e *Endpoint) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

func (e *Endpoint) serveTask(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, invoker.MaxPayloadBytes))
	var payload Payload
	if err = errors.Join(err, json.Unmarshal(body, &payload)); err != nil {
		reply(w, http.StatusBadRequest, invoker.Failure{Error: err.Error()})
		return
	}
	task := taskName(r.Header)
	if !e.begin(task) {
		w.Header().Set(invoker.HeaderNotStarted, "true")
		reply(w, http.StatusServiceUnavailable, invoker.Failure{Error: "no free slot"})
		return
	}
	defer e.end()
	if e.OnStart != nil {
		e.OnStart(task)
	}
	if payload.Label != "" && !slices.Contains(e.Labels, payload.Label) {
		reply(w, http.StatusUnprocessableEntity, invoker.Failure{Error: "label is not offered: " + payload.Label})
		return
	}
	if !e.run(r, payload) {
		panic(http.ErrAbortHandler)
	}
	if e.OnEnd != nil {
		e.OnEnd(task, time.Duration(payload.RunTimeMS*float64(time.Millisecond)))
	}
	if payload.Fail != "" {
		reply(w, http.StatusInternalServerError, invoker.Failure{Error: payload.Fail})
		return
	}
	reply(w, http.StatusOK, Result{Echo: payload.Echo})
}

func taskName(header http.Header) string {
	return fmt.Sprintf("%s/%s/%s#%s", header.Get(invoker.HeaderFirm), header.Get(invoker.HeaderService),
		header.Get(invoker.HeaderSubmission), header.Get(invoker.HeaderTask))
}

// begin occupies a slot and counts the start. It reports false if the endpoint is
// draining or has no free slot.
func (e *Endpoint) begin(task string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	if e.counters.Running >= e.Slots {
		e.counters.SlotViolations++
		return false
	}
	e.starts[task]++
	e.counters.Starts++
	if e.starts[task] > 1 {
		e.counters.DoubleStarts++
	}
	e.counters.Running++
	e.counters.MostRunning = max(e.counters.MostRunning, e.counters.Running)
	return true
}

func (e *Endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Running--
	e.counters.Finished++
}

// run sleeps for the task's run time and reports whether the task completed: a
// hanging task ends incomplete when its caller disconnects or the endpoint stops.
// Any other task whose caller disconnects keeps its slot to the end of its run
// time, as real work would.
func (e *Endpoint) run(r *http.Request, payload Payload) bool {
	if payload.Hang {
		select {
		case <-r.Context().Done():
		case <-e.stopped:
		}
		return false
	}
	speed := e.Speed
	if speed <= 0 {
		speed = 1
	}
	time.Sleep(time.Duration(payload.RunTimeMS / speed * float64(time.Millisecond)))
	return true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the caller has disconnected; there is nobody to report
	// the error to.
	_ = json.NewEncoder(w).Encode(body)
}
