package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/proof/emulator"
)

// stage holds the processes and stand-ins of one case.
type stage struct {
	trouble bool
	dir     string
	binary  string
	record  *os.File
	started time.Time
	done    chan struct{}
	store   *store
	// summed is true if the record holds the number of runs instead of each one.
	summed bool

	mu        sync.Mutex
	processes []*process
	executors []*executor
	events    []runEvent
	running   map[string]int
}

// runEvent is a start or an end of a run at an executor.
type runEvent struct {
	at       time.Time
	executor string
	run      emulator.Run
	// end is empty for a start.
	end emulator.EndKind
}

// process is one of the project's own programs.
type process struct {
	name    string
	args    []string
	log     string
	command *exec.Cmd
	ended   chan struct{}
}

func newStage(record string, trouble bool) (*stage, error) {
	binary, err := filepath.Abs("target/burdockrudder-platform")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("build first: %w", err)
	}
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &stage{
		trouble: trouble, dir: dir, binary: binary, record: file, started: time.Now(), done: make(chan struct{}),
		store: newStore(), running: map[string]int{},
	}, nil
}

// maxTime is the longest time of a case.
const maxTime = 115 * time.Second

// play runs a case and ends all processes that it has started.
func (s *stage) play(run func(*stage) verdict) (v verdict) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxTime):
		}
		s.endAll()
		_ = os.RemoveAll(s.dir)
		os.Exit(int(unable))
	}()
	defer func() {
		if p := recover(); p != nil {
			s.note("the case could not run: %v", p)
			v = unable
		}
		close(s.done)
		s.endAll()
		if os.Getenv("KEEP") != "" {
			s.note("logs in %s", s.dir)
		}
		s.note("verdict %d (0 held, 1 broken, 2 could not run); trouble %v", v, s.trouble)
		_ = s.record.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(s.dir)
		}
	}()
	return run(s)
}

func (s *stage) endAll() {
	s.mu.Lock()
	processes := slices.Clone(s.processes)
	s.mu.Unlock()
	for _, p := range processes {
		s.kill(p)
	}
}

func (s *stage) must(err error) {
	if err != nil {
		panic(err)
	}
}

// note writes a line to the record.
func (s *stage) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = s.record.WriteString(line)
	fmt.Print(line)
}

func (s *stage) runStarted(now time.Time, e *executor, run emulator.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, runEvent{at: now, executor: e.id, run: run})
	if !s.summed {
		s.note("%s starts %s run %d", e.id, run.Task, run.Number)
	}
}

func (s *stage) runEnded(now time.Time, e *executor, run emulator.Run, kind emulator.EndKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, runEvent{at: now, executor: e.id, run: run, end: kind})
	if !s.summed {
		s.note("%s ends %s run %d: %s", e.id, run.Task, run.Number, kind)
	}
}

// history returns the events of a job in order.
func (s *stage) history(job string) []runEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []runEvent
	for _, e := range s.events {
		if strings.HasPrefix(e.run.Task, job+".") {
			events = append(events, e)
		}
	}
	sort.SliceStable(events, func(a, b int) bool { return events[a].at.Before(events[b].at) })
	return events
}

// portsPerStage is the number of ports of one stage. Stages that run at the same time
// mostly have different ones.
const portsPerStage = 500

// givenAddresses holds what freeAddress has returned, or found in use.
var givenAddresses sync.Map

// freeAddress returns a loopback address whose TCP and UDP ports are free. The ports are
// below those of outgoing connections.
func freeAddress() string {
	first := 10_000 + os.Getpid()%40*portsPerStage
	for range portsPerStage {
		address := fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(portsPerStage))
		if _, given := givenAddresses.LoadOrStore(address, true); given {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		socket, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = socket.Close()
		return address
	}
	panic(errors.New("no free port"))
}

// serve serves a handler on a free loopback address.
func (s *stage) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", freeAddress())
	s.must(err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// entry is an entry process with its addresses.
type entry struct {
	*process
	front, ready string
	store        *storeDoor
	// link is the path of all links that other processes dial to the entry.
	link *udpLink
}

// startEntry starts an entry with the settings of the deploy file's template.
func (s *stage) startEntry(name string) *entry {
	door := &storeDoor{store: s.store}
	front, ready, link := freeAddress(), freeAddress(), freeAddress()
	path, err := newUDPLink(link)
	s.must(err)
	p := s.launch("entry", name, map[string]any{
		"process": s.processSettings(name, s.serve(door)), "link_listen": link, "link_advertise": path.address(), "front_listen": front, "ready_listen": ready,
		"guard": map[string]any{"memory_bytes": 284_000_000, "max_descriptors": 4100},
		"overrides": map[string]any{
			"queue_limit": 4, "queue_share": 0.3, "reroute_choices": 3, "eject_after": 4, "eject_for": "1s",
			"ramp_up": "200ms", "suspect_after": 3,
		},
	})
	return &entry{process: p, front: front, ready: ready, store: door, link: path}
}

// startAgent starts an agent and the executor beside it.
func (s *stage) startAgent(name string, milliCPU int, labels ...string) *executor {
	e := &executor{stage: s, id: "i-" + name, milliCPU: milliCPU, labels: labels, service: "s1", control: freeAddress()}
	e.boot()
	e.own = s.serve(e)
	door := &storeDoor{store: s.store}
	s.launch("agent", name, map[string]any{
		"process": s.processSettings(name, s.serve(door)), "announce_listen": e.control, "endpoint_address": e.own,
		"endpoint_lease": "1s", "guard": map[string]any{"memory_bytes": 152_000_000, "max_descriptors": 4096},
	})
	s.executors = append(s.executors, e)
	go e.announce(s.done)
	go e.expire(s.done)
	return e
}

func (s *stage) processSettings(name, store string) map[string]any {
	return map[string]any{
		"name": name, "failure_domain": "sousse",
		"places":        map[string]string{"sousse": "sahel", "monastir": "sahel"},
		"store_address": store, "metrics_listen": freeAddress(), "stop_patience": "5s", "link_trust": "network",
		"log": map[string]string{"level": "info", "format": "json"},
	}
}

func (s *stage) launch(role, name string, settings map[string]any) *process {
	text, err := json.Marshal(settings)
	s.must(err)
	path := filepath.Join(s.dir, name+".jsonc")
	s.must(os.WriteFile(path, text, 0o600))
	p := &process{name: name, args: []string{s.binary, role, "--config", path}, log: filepath.Join(s.dir, name+".log")}
	s.start(p)
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p
}

func (s *stage) start(p *process) {
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.must(err)
	defer output.Close()
	p.command = exec.Command(p.args[0], p.args[1:]...)
	p.command.Stdout, p.command.Stderr = output, output
	s.must(p.command.Start())
	command, ended := p.command, make(chan struct{})
	p.ended = ended
	go func() {
		// The status of a killed process is an error.
		_ = command.Wait()
		if state := command.ProcessState; state != nil && state.Exited() {
			s.note("%s has ended by itself or by SIGTERM, status %d: %s", p.name, state.ExitCode(), tail(p.log))
		}
		close(ended)
	}()
	s.note("%s is started", p.name)
}

// tail returns the last line of a file.
func tail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

func (s *stage) signal(p *process, sig syscall.Signal) {
	s.note("%s gets %v", p.name, sig)
	// A process that has ended needs no signal.
	_ = p.command.Process.Signal(sig)
}

func (s *stage) kill(p *process) {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

const routes = `{"version":1,"routes":[{"name":"r","host":"jobs.example","path_prefix":"/q/","timeout_ms":30000,` +
	`"target_latency_ms":20000,"priority":0,"service":"s1","max_attempts":3,"stretch_factor":5}],` +
	`"services":[{"name":"s1"}],"limits":{"max_body_bytes":262144}}`

// response is the answer to a client's call; status 0 means none.
type response struct {
	status int
	body   string
}

// call sends a client's request on a connection of its own. With a deadline of 0 it sends
// none, and the client waits for as long as the case may take.
func (s *stage) call(method, front, id, body string, deadline time.Duration) response {
	request, err := http.NewRequest(method, "http://"+front+"/q/"+id, strings.NewReader(body))
	s.must(err)
	request.Host = "jobs.example"
	request.Header.Set("Content-Type", "application/json")
	if deadline > 0 {
		request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		s.note("%s %s: no answer: %v", method, id, err)
		return response{}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		s.note("%s %s: answer broken off: %v", method, id, err)
		return response{}
	}
	s.note("%s %s at %s: %d %s", method, id, front, answer.StatusCode, strings.TrimSpace(string(text)))
	return response{status: answer.StatusCode, body: string(text)}
}

// awaitService submits small jobs until one is completed at each front.
func (s *stage) awaitService(fronts ...string) {
	deadline := time.Now().Add(20 * time.Second)
	for _, front := range fronts {
		for {
			r := s.call(http.MethodPost, front, newID(), `{"spec":"10","best_effort":true,"steps":[{"count":1,"cpu":100,"estimate_ms":10}]}`, 2*time.Second)
			if r.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				panic(errors.New("no job is served"))
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
