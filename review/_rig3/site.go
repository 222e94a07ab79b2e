package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
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
)

// The site is of the kind of lamis-ops: four entries, one in each zone, and eleven
// executors with an agent beside each.
const (
	entryCount  = 4
	agentCount  = 11
	entryMemory = 284
	agentMemory = 152
	// Bounds and settings as the pages and the site file name them.
	cancelBound  = 3000 * time.Millisecond
	stopBound    = 50 * time.Millisecond
	drainBound   = 2000 * time.Millisecond
	gracePeriod  = 6 * time.Second
	lossSlack    = 200 * time.Millisecond
	contactTime  = 3000 * time.Millisecond
	resendPause  = 1300 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	routeTimeout = 1500 * time.Millisecond
	leadTime     = 10 * time.Second
	host         = "nony24.example"
	prefix       = "/lohu930/"
)

var zones = []string{"sousse", "monastir", "mahdia", "hammamet"}

// process is one of the project's own programs.
type process struct {
	name    string
	args    []string
	log     string
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

type site struct {
	dir, net  string
	record    *record
	store     *store
	entries   []*process
	agents    []*process
	fronts    []string
	executors []*executor
	servers   []*http.Server
	paths     []*delay
	// snapshot is held while the locks of all executors are taken.
	snapshot sync.Mutex
}

var errNotRun = errors.New("the case couldn't run")

// newSite picks loopback addresses and starts the store's stand-in.
func newSite(r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, record: r, store: newStore()}
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
		if err = s.serve(s.net+"1:8169", s.store); err == nil {
			return s, nil
		}
	}
	return nil, err
}

func (s *site) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *site) entryIP(i int) string { return fmt.Sprint(s.net, 10+i) }
func (s *site) agentIP(i int) string { return fmt.Sprint(s.net, 50+i) }

// start starts the entries, the executors and their agents, and waits for the lead time.
// makeExecutor sets what a case wants of an executor.
func (s *site) start(makeExecutor func(i int, e *executor)) error {
	for i := range entryCount {
		ip := s.entryIP(i)
		p, err := s.program("entry", fmt.Sprintf("edge-%s-1", zones[i]), ip, zones[i], entryMemory, "")
		if err != nil {
			return err
		}
		s.entries, s.fronts = append(s.entries, p), append(s.fronts, ip+":8161")
	}
	for i := range agentCount {
		ip := s.agentIP(i)
		app := ip + ":8080"
		zone := zones[i%len(zones)]
		e := &executor{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "huvo11a", zone: zone, address: app, control: ip + ":8166",
			cpu: 16000, slots: 64, taskCPU: 1600, record: s.record, onStart: func(*executor, string, int) {},
		}
		makeExecutor(i, e)
		e.boot()
		if err := s.serve(app, e); err != nil {
			return err
		}
		p, err := s.program("agent", fmt.Sprintf("side-%d", i), ip, zone, agentMemory, app)
		if err != nil {
			return err
		}
		s.agents, s.executors = append(s.agents, p), append(s.executors, e)
	}
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, e := range s.executors {
		go e.announce()
	}
	time.Sleep(leadTime)
	for i := range s.entries {
		r := request(s.entryIP(i)+":8167", "GET", "ready.example", "/api/readiness", "", 1000, time.Second)
		if r.status != http.StatusOK {
			return fmt.Errorf("%w: entry %d isn't ready: status %d %s", errNotRun, i, r.status, errText(r.err))
		}
	}
	s.record.write("all entries are ready")
	return nil
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// program fills the template of a role in and returns the command of the deploy file.
func (s *site) program(role, name, ip, zone string, memory int, app string) (*process, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/" + role + ".jsonc")
	if err != nil {
		return nil, err
	}
	var words []string
	for _, match := range runLine.FindAllStringSubmatch(string(deploy), -1) {
		if fields := strings.Fields(match[1]); len(fields) > 1 && fields[1] == role {
			words = fields
		}
	}
	if words == nil {
		return nil, fmt.Errorf("the deploy file has no command for %s", role)
	}
	config := filepath.Join(s.dir, name+".jsonc")
	for i, word := range words {
		if word == "/etc/burdockrudder/node.toml" {
			words[i] = config
		}
	}
	quote := func(text string) string { return fmt.Sprintf("%q", text) }
	places := `{"sousse":"sahel","monastir":"sahel","mahdia":"sahel","hammamet":"sahel"}`
	filled := strings.NewReplacer(
		"{{node_name|json}}", quote(name), "{{zone|json}}", quote(zone), "{{zones|json}}", places,
		"{{platform.address|json}}", quote(s.net+"1:8169"), "{{ip}}", ip, "{{internal_ports.0}}", "7720",
		"{{listen.front|json}}", quote(ip+":8161"), "{{listen.ready|json}}", quote(ip+":8167"),
		"{{listen.control|json}}", quote(ip+":8166"), "{{app|json}}", quote(app),
		"{{limits.memory_mb}}", fmt.Sprint(memory), "{{limits.max_fds}}", "4100",
	).Replace(string(template))
	if strings.Contains(filled, "{{") {
		return nil, fmt.Errorf("the template of %s has a placeholder that the rig doesn't fill", role)
	}
	if err := os.WriteFile(config, []byte(filled), 0o600); err != nil {
		return nil, err
	}
	return &process{name: name, args: words, log: filepath.Join(s.dir, name+".log")}, nil
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	p.command = exec.Command(p.args[0], p.args[1:]...)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		return err
	}
	command, ended := p.command, make(chan struct{})
	p.ended = ended
	go func() {
		// The status of a process that was killed is an error.
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		// A process that has ended needs no signal.
		_ = p.command.Process.Signal(signal)
	}
}

func (p *process) end() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// stop ends all processes that the rig started and removes its folder.
func (s *site) stop() {
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if p.end() == nil {
			continue
		}
		p.signal(syscall.SIGKILL)
		<-p.end()
	}
	for _, e := range s.executors {
		close(e.stop)
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, p := range s.paths {
		_ = p.listener.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// config returns a desired state in which the queue's tasks run on a service.
func config(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-wrr6x73","host":%q,"path_prefix":%q,"kind":"non_idempotent","timeout_ms":1500,`+
		`"target_latency_ms":60,"priority":0,"service":%q,"max_attempts":4,"stretch_factor":1.6}],`+
		`"services":[{"name":"huvo11a","health_path":"/health","max_connections":64,"protocol":"h1","enforces_capacity":false},`+
		`{"name":"huvo12b","health_path":"/health","max_connections":64,"protocol":"h1","enforces_capacity":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, host, prefix, service)
}

// change lets the operator write a desired state, and records its acknowledgement.
func (s *site) change(version int, service string) {
	s.store.put("config", config(version, service))
	s.record.write("operator: the desired state %d sends the queue to %s; acknowledged", version, service)
}

// workers returns where tasks of a job run.
func (s *site) workers(job string) []string {
	var all []string
	for _, e := range s.executors {
		for _, task := range e.atWork(job) {
			all = append(all, task+" on "+e.id)
		}
	}
	return all
}
