package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/proof/emulator"
)

// executor stands in for an application executor. It is sound: it starts what it is told
// to start under its lease, and does not guard its capacity. The spec of a task is its
// length in milliseconds.
type executor struct {
	id, service, zone string
	address, control  string
	cpu, slots        int
	record            *record
	// onStart is called, with the lock held, for each start of a task.
	onStart func(e *executor, task string, cpuAtWork int)

	mu       sync.Mutex
	emulator emulator.Endpoint
	born     int64
	changed  chan struct{}
	// runs holds what the tasks that run were told to take, by task.
	runs map[string]int
	seq  atomic.Int64
	// lastStatus is the status of the answer to its last ping.
	lastStatus atomic.Int64
	// state is what the executor says of itself.
	state atomic.Value
	// drainAckedAt is when a ping with the state draining was acknowledged.
	drainAckedAt atomic.Int64
	// taskCPU is the cpu of every task of a case.
	taskCPU int
	stop    chan struct{}
}

func (e *executor) boot() {
	e.changed, e.runs, e.stop = make(chan struct{}), map[string]int{}, make(chan struct{})
	e.emulator = emulator.Endpoint{ClockPercent: 100, OnStart: e.started, OnEnd: e.ended}
	e.born = time.Now().UnixMilli()
	e.state.Store("ready")
	e.emulator.Boot(time.Now())
	go e.lapse()
}

// lapse ends what runs when the lease has passed.
func (e *executor) lapse() {
	for {
		select {
		case <-e.stop:
			return
		case <-time.After(5 * time.Millisecond):
			e.mu.Lock()
			e.emulator.ExpireLease(time.Now())
			e.mu.Unlock()
		}
	}
}

func (e *executor) started(_ time.Time, run emulator.Run) {
	e.runs[run.Task] = e.taskCPU
	atWork := len(e.runs) * e.taskCPU
	e.record.write("executor %s starts %s run %d; cpu at work %d of %d", e.id, run.Task, run.Number, atWork, e.cpu)
	e.onStart(e, run.Task, atWork)
}

func (e *executor) ended(_ time.Time, run emulator.Run, kind emulator.EndKind) {
	delete(e.runs, run.Task)
	e.record.write("executor %s ends %s run %d: %s", e.id, run.Task, run.Number, kind)
	close(e.changed)
	e.changed = make(chan struct{})
}

// atWork returns the tasks of a job that run here.
func (e *executor) atWork(job string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var tasks []string
	for task := range e.runs {
		if strings.HasPrefix(task, job+".") {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		UntilMS  int64  `json:"until_ms"`
		Token    uint64 `json:"fencing_token"`
		Observed int    `json:"observed"`
		WaitMS   int64  `json:"wait_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if boot := r.Header.Get("Expect-Instance"); boot != "" && boot != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	run := emulator.Run{Task: request.Task, Number: request.Run}
	until := time.Duration(request.UntilMS) * time.Millisecond
	switch r.URL.Path {
	case "/api/run-start":
		e.reply(w, e.start(run, request.Token, until, request.Spec))
	case "/api/run-stop":
		e.reply(w, e.emulator.Stop(time.Now(), run, request.Token))
	case "/api/hold":
		if refusal := e.emulator.Hold(time.Now(), request.Token, until, request.Observed); refusal != "" {
			e.reply(w, refusal)
			return
		}
		e.hold(w, request.Observed, time.Duration(request.WaitMS)*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func (e *executor) reply(w http.ResponseWriter, refusal emulator.Refusal) {
	status, body := http.StatusOK, map[string]any{"clock_ms": e.emulator.Clock(time.Now()).Milliseconds(), "born": e.born}
	if refusal != "" {
		status, body["reason"] = http.StatusConflict, refusal
	}
	answer(w, status, body)
}

func (e *executor) start(run emulator.Run, token uint64, until time.Duration, spec string) emulator.Refusal {
	known := e.emulator.IsRunning(run)
	if refusal := e.emulator.Start(time.Now(), run, token, until); refusal != "" || known {
		return refusal
	}
	ms := 50
	// A spec that isn't a number is a short task.
	_, _ = fmt.Sscanf(spec, "%d", &ms)
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.emulator.Finish(time.Now(), run, emulator.EndDone)
	})
	return ""
}

// hold answers with both lists, after it has waited for an end. The lock is released
// while it waits.
func (e *executor) hold(w http.ResponseWriter, observed int, wait time.Duration) {
	deadline := time.After(min(wait, 2*time.Second))
	for waiting := wait > 0; waiting && e.emulator.LastEnd() <= observed; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		}
		e.mu.Lock()
	}
	e.emulator.ExpireLease(time.Now())
	running, ended := [][]any{}, [][]any{}
	for _, run := range e.emulator.Running() {
		running = append(running, []any{run.Task, run.Number, "", 100, e.taskCPU})
	}
	for _, end := range e.emulator.UnobservedEnds() {
		ended = append(ended, []any{end.Number, end.Run.Task, end.Run.Number, end.Kind, ""})
	}
	answer(w, http.StatusOK, map[string]any{
		"clock_ms": e.emulator.Clock(time.Now()).Milliseconds(), "born": e.born, "running": running, "ended": ended,
	})
}

// announce sends a ping each 1500 ms (heartbeat_ms) until the executor stops.
func (e *executor) announce() {
	for {
		e.ping()
		select {
		case <-e.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// ping sends the executor's own ping and returns the answer's status.
func (e *executor) ping() int {
	state := e.state.Load().(string)
	body := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": e.cpu, "mem_mb": 32768, "gpu": 0},
		"labels": []string{"a", "r1-1"}, "clock_ms": time.Now().UnixMilli() - e.born, "seq": e.seq.Add(1), "born": e.born,
	}
	if state == "draining" {
		body["drain_remaining_ms"] = 2000
	}
	status := e.send(body)
	e.lastStatus.Store(int64(status))
	if state == "draining" && status == http.StatusOK {
		e.drainAckedAt.CompareAndSwap(0, time.Now().UnixNano())
		e.record.write("executor %s: its ping with seq %d says draining; answered %d", e.id, e.seq.Load(), status)
	}
	return status
}

// foreignPing sends a ping of another writer, which lacks the capacity.
func (e *executor) foreignPing(seq int64) {
	body := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"cold_remaining_ms": 0, "labels": []string{"a", "r1-1"}, "clock_ms": time.Now().UnixMilli() - e.born, "seq": seq, "born": e.born,
	}
	e.record.write("executor %s: a ping of another writer, without capacity, with seq %d; answered %d", e.id, seq, e.send(body))
}

func (e *executor) send(body map[string]any) int {
	text, err := json.Marshal(body)
	if err != nil {
		return -1
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPut, "http://"+e.control+"/api/executors/"+e.id, bytes.NewReader(text))
	if err != nil {
		return -1
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
