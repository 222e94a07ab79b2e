package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/proof/emulator"
)

// executor is the stand-in of an executor. The spec of a task is its run time in
// milliseconds, which may be followed by any text. It does not guard its capacity.
type executor struct {
	stage    *stage
	id       string
	own      string
	control  string
	milliCPU int

	mu      sync.Mutex
	emu     emulator.Endpoint
	born    int64
	changed chan struct{}
	seq     int
	state   string
	labels  []string
	service string
	down    bool
	runs    map[emulator.Run]string
}

func (e *executor) boot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed == nil {
		e.changed = make(chan struct{})
		e.emu = emulator.Endpoint{ClockPercent: 99, ClockStart: time.Second, OnStart: e.started, OnEnd: e.ended}
	}
	if e.state == "" {
		e.state = "ready"
	}
	e.born = time.Now().UnixMilli()
	e.seq = 0
	e.emu.Boot(time.Now())
	e.runs = map[emulator.Run]string{}
}

func (e *executor) started(now time.Time, run emulator.Run) {
	e.stage.runStarted(now, e, run)
}

func (e *executor) ended(now time.Time, run emulator.Run, kind emulator.EndKind) {
	e.stage.runEnded(now, e, run, kind)
	close(e.changed)
	e.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		UntilMS  int64  `json:"until_ms"`
		Token    uint64 `json:"fencing_token"`
		Observed int    `json:"observed"`
		WaitMS   int64  `json:"wait_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := emulator.Run{Task: q.Task, Number: q.Run}
	until := time.Duration(q.UntilMS) * time.Millisecond
	switch r.URL.Path {
	case "/api/run-start":
		e.reply(w, e.start(run, q.Token, until, q.Spec))
	case "/api/run-stop":
		e.reply(w, e.emu.Stop(time.Now(), run, q.Token))
	case "/api/hold":
		if refusal := e.emu.Hold(time.Now(), q.Token, until, q.Observed); refusal != "" {
			e.reply(w, refusal)
			return
		}
		e.hold(w, q.Observed, time.Duration(min(q.WaitMS, 2000))*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func (e *executor) reply(w http.ResponseWriter, refusal emulator.Refusal) {
	status, body := http.StatusOK, map[string]any{"clock_ms": e.emu.Clock(time.Now()).Milliseconds(), "born": e.born}
	if refusal != "" {
		status, body["reason"] = http.StatusConflict, refusal
	}
	answer(w, status, body)
}

func (e *executor) start(run emulator.Run, token uint64, until time.Duration, spec string) emulator.Refusal {
	known := e.emu.IsRunning(run)
	e.runs[run] = spec
	if refusal := e.emu.Start(time.Now(), run, token, until); refusal != "" || known {
		return refusal
	}
	ms := 50
	// A spec without a number takes the default.
	_, _ = fmt.Sscanf(spec, "%d", &ms)
	born := e.born
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born {
			e.emu.Finish(time.Now(), run, emulator.EndDone)
		}
	})
	return ""
}

// hold answers with the lists, at the latest after wait.
func (e *executor) hold(w http.ResponseWriter, observed int, wait time.Duration) {
	deadline := time.After(wait)
	for waiting := wait > 0; waiting && e.emu.LastEnd() <= observed; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		}
		e.mu.Lock()
	}
	now := time.Now()
	e.emu.ExpireLease(now)
	running, ended := [][]any{}, [][]any{}
	for _, run := range e.emu.Running() {
		running = append(running, []any{run.Task, run.Number, "", 100, 0})
	}
	for _, end := range e.emu.UnobservedEnds() {
		ended = append(ended, []any{end.Number, end.Run.Task, end.Run.Number, end.Kind, ""})
	}
	answer(w, http.StatusOK, map[string]any{
		"clock_ms": e.emu.Clock(now).Milliseconds(), "born": e.born, "running": running, "ended": ended,
	})
}

// expire ends the runs whose lease has lapsed at the time at which it lapses.
func (e *executor) expire(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		e.mu.Lock()
		e.emu.ExpireLease(time.Now())
		e.mu.Unlock()
	}
}

// announce sends a ping every 1.5 s, and sooner while none is acknowledged.
func (e *executor) announce(done <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		pause := 1500 * time.Millisecond
		if !e.ping(client) {
			pause = 200 * time.Millisecond
		}
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
	}
}

func (e *executor) ping(client *http.Client) bool {
	e.mu.Lock()
	e.seq++
	down := e.down
	body, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.own, "zone": "sousse", "version": "v1", "slots": 8, "state": e.state,
		"cold_remaining_ms": 0, "seq": e.seq, "born": e.born, "clock_ms": e.emu.Clock(time.Now()).Milliseconds(),
		"capacity": map[string]int{"cpu": e.milliCPU, "mem_mb": 32768, "gpu": 0}, "labels": e.labels,
	})
	e.mu.Unlock()
	if down || err != nil {
		return false
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+e.control+"/api/executors/"+e.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}
