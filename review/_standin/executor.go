package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/proof/emulator"
)

// heartbeat is the time between an executor's pings, heartbeat_ms in the settings of the
// small sites.
const heartbeat = 1500 * time.Millisecond

// executor stands in for an executor with invocation orders. It does not guard its
// capacity. The spec of a task is its run time in milliseconds, a colon and the cpu that
// it requests.
type executor struct {
	id      string
	service string
	// own is the executor's address, control the one that takes its pings.
	own, control string
	runs         *runs
	record       *record

	mu       sync.Mutex
	emulator emulator.Endpoint
	labels   []string
	// lost is the job whose next start is carried out without an answer; onLost is called then.
	lost   string
	onLost func()
	cpu    int
	// used is the cpu that the running tasks request, taken the request of each of them.
	used    int
	taken   map[emulator.Run]int
	born    int64
	seq     int
	down    bool
	changed chan struct{}
}

// boot starts the executor, or starts it again under the same id.
func (e *executor) boot(cpu int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed == nil {
		e.changed = make(chan struct{})
		e.taken = map[emulator.Run]int{}
		e.emulator = emulator.Endpoint{ClockPercent: 100, OnEnd: e.ended}
	}
	e.emulator.Boot(time.Now())
	e.cpu, e.used, e.seq, e.down = cpu, 0, 0, false
	e.born = time.Now().UnixMilli()
	e.record.add("%s boots with cpu %d, born %d", e.id, cpu, e.born)
}

// crash ends the executor and everything that runs on it.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.add("%s crashes", e.id)
	e.emulator.Boot(time.Now())
	e.down = true
}

// ended records the end of a run and wakes the holds that wait for one. The caller holds
// the lock.
func (e *executor) ended(_ time.Time, run emulator.Run, kind emulator.EndKind) {
	e.used -= e.taken[run]
	delete(e.taken, run)
	e.runs.ended(e.id, run, kind)
	close(e.changed)
	e.changed = make(chan struct{})
}

// order is the body of a call to an executor.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"until_ms"`
	Token    uint64 `json:"fencing_token"`
	Observed int    `json:"observed"`
	WaitMS   int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		panic(http.ErrAbortHandler)
	}
	if intended := r.Header.Get("Expect-Instance"); intended != "" && intended != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := emulator.Run{Task: o.Task, Number: o.Run}
	until := time.Duration(o.UntilMS) * time.Millisecond
	switch r.URL.Path {
	case "/api/run-start":
		refusal := e.start(run, o, until)
		if e.lost != "" && strings.HasPrefix(o.Task, e.lost) {
			e.loseThis(r)
			return
		}
		e.answer(w, refusal)
	case "/api/run-stop":
		e.answer(w, e.emulator.Stop(time.Now(), run, o.Token))
	case "/api/hold":
		if refusal := e.emulator.Hold(time.Now(), o.Token, until, o.Observed); refusal != "" {
			e.answer(w, refusal)
			return
		}
		e.hold(w, o)
	default:
		http.NotFound(w, r)
	}
}

// loseThis leaves a request without an answer. The lock is released meanwhile.
func (e *executor) loseThis(r *http.Request) {
	e.record.add("%s loses the answer to the start of a task of %s", e.id, e.lost)
	e.lost = ""
	onLost := e.onLost
	e.mu.Unlock()
	onLost()
	<-r.Context().Done()
	e.mu.Lock()
}

// loseAnswer makes the executor carry out the next start for a job without answering it.
func (e *executor) loseAnswer(job string, onLost func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost, e.onLost = job, onLost
}

// setLabels changes the labels of the next boot.
func (e *executor) setLabels(labels ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.labels = labels
}

// onlyLabel returns the label that no other executor has.
func (e *executor) onlyLabel() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.labels[0]
}

func (e *executor) answer(w http.ResponseWriter, refusal emulator.Refusal) {
	body := map[string]any{"clock_ms": e.clockMS(), "born": e.born}
	if refusal == "" {
		writeJSON(w, http.StatusOK, body)
		return
	}
	body["reason"] = refusal
	writeJSON(w, http.StatusConflict, body)
}

func (e *executor) clockMS() int64 { return e.emulator.Clock(time.Now()).Milliseconds() }

func (e *executor) start(run emulator.Run, o order, until time.Duration) emulator.Refusal {
	if e.emulator.IsRunning(run) {
		return e.emulator.Start(time.Now(), run, o.Token, until)
	}
	if refusal := e.emulator.Start(time.Now(), run, o.Token, until); refusal != "" {
		return refusal
	}
	var ms, cpu int
	if _, err := fmt.Sscanf(o.Spec, "%d:%d", &ms, &cpu); err != nil {
		e.record.add("%s cannot read spec %q", e.id, o.Spec)
	}
	e.used += cpu
	e.taken[run] = cpu
	e.runs.started(e.id, run, e.used, e.cpu)
	born := e.born
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born {
			e.emulator.Finish(time.Now(), run, emulator.EndDone)
		}
	})
	return ""
}

// hold answers with both lists, and waits for an end if the order says so. The lock is
// released while it waits.
func (e *executor) hold(w http.ResponseWriter, o order) {
	born := e.born
	timeout := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && e.emulator.LastEnd() <= o.Observed; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		}
		e.mu.Lock()
	}
	if e.down || e.born != born {
		panic(http.ErrAbortHandler)
	}
	e.emulator.ExpireLease(time.Now())
	running, ended := [][]any{}, [][]any{}
	for _, run := range e.emulator.Running() {
		running = append(running, []any{run.Task, run.Number, "", 100, 0})
	}
	for _, end := range e.emulator.UnobservedEnds() {
		ended = append(ended, []any{end.Number, end.Run.Task, end.Run.Number, end.Kind, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": e.clockMS(), "born": e.born, "running": running, "ended": ended})
}

// expireLeases ends the runs of a lapsed lease on time, until ctx ends.
func (e *executor) expireLeases(ctx context.Context) error {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		e.mu.Lock()
		e.emulator.ExpireLease(time.Now())
		e.mu.Unlock()
	}
}

// ping tells the agent of the executor at each heartbeat until ctx ends.
func (e *executor) ping(ctx context.Context) error {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		e.pingOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (e *executor) pingOnce(ctx context.Context) {
	e.mu.Lock()
	e.seq++
	down := e.down
	body := map[string]any{
		"service": e.service, "address": e.own, "zone": "a", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": e.cpu, "mem_mb": 32768, "gpu": 0},
		"labels": e.labels, "clock_ms": e.clockMS(), "seq": e.seq, "born": e.born,
	}
	e.mu.Unlock()
	if down {
		return
	}
	status, err := sendPing(ctx, e.control, e.id, body)
	if err != nil || status != http.StatusOK {
		e.record.add("ping of %s: status %d, error %v", e.id, status, err)
	}
}

// sendPing puts a ping to a control address.
func sendPing(ctx context.Context, control, id string, body any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/api/executors/"+id, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// span is one run of a task at an executor.
type span struct {
	executor string
	run      emulator.Run
	from     time.Time
	// to is zero while the run goes on.
	to time.Time
}

// runs keeps all runs at all executors.
type runs struct {
	record *record

	mu    sync.Mutex
	spans []*span
	// twice and over hold the violations of TWICE (runs at the same time) and of LIMIT.
	twice, over []string
}

func (r *runs) started(executor string, run emulator.Run, used, capacity int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.add("start of %s run %d on %s, cpu %d of %d", run.Task, run.Number, executor, used, capacity)
	for _, other := range r.spans {
		if other.run.Task == run.Task && other.to.IsZero() {
			r.twice = append(r.twice, "TWICE: "+run.Task+" run "+strconv.Itoa(run.Number)+" starts on "+executor+
				" while run "+strconv.Itoa(other.run.Number)+" is at work on "+other.executor)
		}
	}
	if used > capacity {
		r.over = append(r.over, fmt.Sprintf("LIMIT: the start of %s on %s takes it to cpu %d of %d", run.Task, executor, used, capacity))
	}
	r.spans = append(r.spans, &span{executor: executor, run: run, from: time.Now()})
}

func (r *runs) ended(executor string, run emulator.Run, kind emulator.EndKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.add("end of %s run %d on %s: %s", run.Task, run.Number, executor, kind)
	for _, s := range r.spans {
		if s.executor == executor && s.run == run && s.to.IsZero() {
			s.to = time.Now()
		}
	}
}

func (r *runs) twiceSeen() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.twice)
}

// after returns the runs of a job that are at work at a moment or start later.
func (r *runs) after(job string, moment time.Time) []span {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []span
	for _, s := range r.spans {
		if len(s.run.Task) > len(job) && s.run.Task[:len(job)] == job && (s.to.IsZero() || s.to.After(moment)) {
			found = append(found, *s)
		}
	}
	return found
}
