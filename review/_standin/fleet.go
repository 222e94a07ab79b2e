package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	host    = "queue.example"
	prefix  = "/q/"
	service = "s1"
)

// executorCPU is the capacity of an executor of the small sites, in thousandths of a core.
const executorCPU = 16000

// desiredState is the configuration that the operator has written.
const desiredState = `{"version":1,"routes":[{"name":"q","host":"queue.example","path_prefix":"/q/","timeout_ms":60000,` +
	`"target_latency_ms":60,"priority":0,"service":"s1","max_attempts":4,"stretch_factor":1.6}],` +
	`"services":[{"name":"s1"}],"limits":{"max_body_bytes":262144}}`

// fleet is a small deployment: the project's own processes and the stand-ins around them.
type fleet struct {
	program string
	dir     string
	record  *record
	runs    *runs
	store   *store

	ctx       context.Context
	cancel    context.CancelFunc
	group     errgroup.Group
	servers   []*http.Server
	storeAddr string
	entries   []*process
	agents    []*process
	executors []*executor
	// withLinks puts a link in front of each entry; set before start.
	withLinks bool
	links     []*link
}

func newFleet(ctx context.Context, program, dir string) *fleet {
	ctx, cancel := context.WithCancel(ctx)
	r := newRecord()
	return &fleet{program: program, dir: dir, record: r, runs: &runs{record: r}, store: newStore(), ctx: ctx, cancel: cancel}
}

// start starts the platform, the entries and the agents with their executors, and waits
// until a small job is completed at each entry.
func (f *fleet) start(entries, agents int) error {
	f.store.put("op", "config", []byte(desiredState))
	var err error
	if f.storeAddr, err = f.serve(f.store); err != nil {
		return err
	}
	for i := range entries {
		if err := f.startEntry(fmt.Sprintf("edge-%d", i+1)); err != nil {
			return err
		}
	}
	for i := range agents {
		if err := f.startAgent(i + 1); err != nil {
			return err
		}
	}
	return f.awaitService()
}

func (f *fleet) startEntry(name string) error {
	link, front, ready, err := freeAddresses()
	if err != nil {
		return err
	}
	p := &process{fleet: f, name: name, role: "entry", front: front}
	if err := p.configure("deploy/entry.jsonc", link, map[string]string{"listen.front": front, "listen.ready": ready}); err != nil {
		return err
	}
	if f.withLinks {
		if err := f.addLink(p, link); err != nil {
			return err
		}
	}
	f.entries = append(f.entries, p)
	return p.start()
}

// addLink puts a link in front of an entry and makes the entry advertise its address.
func (f *fleet) addLink(entry *process, target string) error {
	l, err := newLink(target)
	if err != nil {
		return err
	}
	f.links = append(f.links, l)
	f.group.Go(l.serve)
	text, err := os.ReadFile(entry.config)
	if err != nil {
		return err
	}
	advertised := strings.Replace(string(text), `"front_listen"`, fmt.Sprintf("\"link_advertise\": %q,\n  \"front_listen\"", l.address()), 1)
	return os.WriteFile(entry.config, []byte(advertised), 0o600)
}

func (f *fleet) startAgent(number int) error {
	internal, control, _, err := freeAddresses()
	if err != nil {
		return err
	}
	e := &executor{id: fmt.Sprintf("i-%d", number), service: service, labels: []string{fmt.Sprintf("k%d", number), "r1-1"}, control: control, runs: f.runs, record: f.record}
	e.boot(executorCPU)
	if e.own, err = f.serve(e); err != nil {
		return err
	}
	p := &process{fleet: f, name: fmt.Sprintf("side-%d", number), role: "agent"}
	if err := p.configure("deploy/agent.jsonc", internal, map[string]string{"listen.control": control, "app": e.own}); err != nil {
		return err
	}
	f.agents, f.executors = append(f.agents, p), append(f.executors, e)
	if f.withLinks {
		// The senders of the processes that were started before are known by then.
		time.Sleep(linkTime)
		for _, l := range f.links {
			l.setOwner(p.name)
		}
	}
	if err := p.start(); err != nil {
		return err
	}
	f.group.Go(func() error { return e.ping(f.ctx) })
	f.group.Go(func() error { return e.expireLeases(f.ctx) })
	return nil
}

// linkTime is how long a started process needs to link to the entries.
const linkTime = 3 * time.Second

// startTimeout bounds the start of the whole deployment.
const startTimeout = 20 * time.Second

func (f *fleet) awaitService() error {
	deadline := time.Now().Add(startTimeout)
	for i := range f.entries {
		for try := 0; ; try++ {
			answer := f.post(f.entries[i], fmt.Sprintf("%014x%02x", try, i), jobBody(1, 20, 1000), 2*time.Second)
			if answer.completed() {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve: %v", f.entries[i].name, answer)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// The executors have pinged, and all links are open.
	time.Sleep(time.Second)
	return nil
}

// serve serves a handler on a loopback port until the fleet stops.
func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, server)
	f.group.Go(func() error {
		// Serve returns when the fleet stops.
		_ = server.Serve(listener)
		return nil
	})
	return listener.Addr().String(), nil
}

// stop kills the processes and waits for their ends.
func (f *fleet) stop() {
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		p.kill()
	}
	f.cancel()
	for _, server := range f.servers {
		_ = server.Close()
	}
	for _, l := range f.links {
		l.close()
	}
	// The goroutines return no error.
	_ = f.group.Wait()
}

// freeAddresses returns three loopback addresses whose TCP and UDP ports are free.
func freeAddresses() (a, b, c string, err error) {
	var found []string
	for len(found) < 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", "", "", err
		}
		defer listener.Close()
		address := listener.Addr().String()
		if socket, err := net.ListenPacket("udp", address); err == nil {
			_ = socket.Close()
			found = append(found, address)
		}
	}
	return found[0], found[1], found[2], nil
}

// process is one of the project's own processes.
type process struct {
	fleet  *fleet
	name   string
	role   string
	front  string
	config string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// configure fills in the template of the deploy file, as the platform does.
func (p *process) configure(template, internal string, own map[string]string) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	metrics, _, _, err := freeAddresses()
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(internal)
	if err != nil {
		return err
	}
	values := map[string]any{
		"node_name": p.name, "zone": "a", "zones": map[string]string{"a": "r"}, "platform.address": p.fleet.storeAddr,
		"ip": "127.0.0.1", "internal_ports.0": port,
	}
	for name, value := range own {
		values[name] = value
	}
	// All processes share one address here, so each needs a metrics port of its own.
	filled := strings.Replace(string(text), "{{ip}}:9464", metrics, 1)
	filled = placeholder.ReplaceAllStringFunc(filled, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		if parts[2] == "" {
			return fmt.Sprint(values[parts[1]])
		}
		data, err := json.Marshal(values[parts[1]])
		if err != nil {
			return found
		}
		return string(data)
	})
	p.config = filepath.Join(p.fleet.dir, p.name+".jsonc")
	return os.WriteFile(p.config, []byte(filled), 0o600)
}

// start runs the command of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(p.fleet.program, p.role, "--config", p.config)
	command.Stdout, command.Stderr = log, log
	// The process ends with this program, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended = command, ended
	p.mu.Unlock()
	p.fleet.record.add("%s started", p.name)
	p.fleet.group.Go(func() error {
		err := command.Wait()
		p.fleet.record.add("%s ended: %v", p.name, err)
		close(ended)
		return nil
	})
	return nil
}

// kill kills the process, if it runs, and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	command, ended := p.command, p.ended
	p.mu.Unlock()
	if command == nil {
		return
	}
	// The process may have ended already.
	_ = command.Process.Kill()
	<-ended
}

// answer is what a client got; status 0 means a broken connection or no answer.
type answer struct {
	status int
	body   string
	err    error
}

func (a answer) completed() bool {
	return a.status == http.StatusOK && strings.Contains(a.body, `"completed"`)
}

// rejected reports whether the answer says that the job never runs.
func (a answer) rejected() bool {
	return a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, body %s, error %v", a.status, strings.TrimSpace(a.body), a.err)
}

// jobBody returns a job that need not be kept: one step of equal tasks.
func jobBody(count, ms, cpu int) string {
	return fmt.Sprintf(`{"spec":"%d:%d","best_effort":true,"steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":%d}]}`,
		ms, cpu, count, cpu, ms)
}

// neededJobBody returns a job of one task that needs a label.
func neededJobBody(ms, cpu int, label string) string {
	return fmt.Sprintf(`{"spec":"%d:%d","best_effort":true,"steps":[{"count":1,"cpu":%d,"mem_mb":64,"estimate_ms":%d,"needs":%q}]}`,
		ms, cpu, cpu, ms, label)
}

// post submits a job at an entry over a connection of its own.
func (f *fleet) post(entry *process, id, body string, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(f.ctx, patience)
	defer cancel()
	return f.postUntil(ctx, entry, id, body)
}

// postUntil submits a job and breaks the connection off when ctx ends.
func (f *fleet) postUntil(ctx context.Context, entry *process, id, body string) answer {
	f.record.add("client: POST %s at %s: %s", id, entry.name, body)
	got := f.call(ctx, entry, http.MethodPost, id, body)
	f.record.add("client: answer to POST %s at %s: %v", id, entry.name, got)
	return got
}

// defaultPatience is how long a client waits whose context sets no bound.
const defaultPatience = 20 * time.Second

func (f *fleet) call(ctx context.Context, entry *process, method, id, body string) answer {
	patience := defaultPatience
	if deadline, bounded := ctx.Deadline(); bounded {
		patience = min(patience, time.Until(deadline).Round(time.Millisecond))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.front+prefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Close = true
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, body: string(data)}
}
