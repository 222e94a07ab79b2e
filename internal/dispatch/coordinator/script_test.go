package coordinator

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/scripter"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Guards against the failure that the first line of each script names.
func TestScripts(t *testing.T) {
	scripter.Each(t, "testdata/*.txtar", func(t *testing.T, script scripter.Script) {
		t.Log(script.Guards)
		d := newDesk(t)
		for _, step := range script.Steps {
			d.step(step)
		}
	})
}

// The answers that the fake table gives to a renewal of the entry row.
const (
	storeUp     = "up"
	storeDown   = "down"
	storeSilent = "silent"
	storeFenced = "fenced"
)

// desk drives an entry's decision state by a script. It plays the agents, the
// other entries and the renewal of the entry row; rows come from the script.
type desk struct {
	t       *testing.T
	state   *State
	now     time.Duration
	effects []Effect
	tree    resolver.Tree
	version uint64
	store   string
	agents  map[string]*fakeAgent
	peers   map[string]*fakePeer
}

type fakeAgent struct {
	domain   string
	slots    int
	sequence uint64
}

type fakePeer struct {
	renewal  uint64
	sequence uint64
	// echo is the sequence of this entry's last status.
	echo    uint64
	version uint64
	fenced  bool
	// waiting is the number of tasks of high priority that wait there.
	waiting int
}

func newDesk(t *testing.T) *desk {
	return &desk{
		t: t, version: 1, store: storeUp,
		state:  &State{Config: Defaults("e1", "e1", "e1"), Random: rand.New(rand.NewPCG(1, 1))},
		agents: make(map[string]*fakeAgent), peers: make(map[string]*fakePeer),
	}
}

func (d *desk) time() time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(d.now)
}

func (d *desk) handle(event Event) {
	effects := d.state.Handle(d.time(), event)
	d.effects = append(d.effects, effects...)
	for _, effect := range effects {
		switch e := effect.(type) {
		case RenewLease:
			d.renewed(e.Renewal)
		case Send:
			if status, ok := e.Message.(messenger.PeerStatus); ok && d.peers[string(e.To)] != nil {
				d.peers[string(e.To)].echo = status.Sequence
			}
		}
	}
}

func (d *desk) receive(from string, m messenger.Message) {
	d.handle(Received{From: messenger.Incarnation(from), Message: m})
}

func (d *desk) renewed(renewal uint64) {
	switch d.store {
	case storeUp:
		d.handle(LeaseRenewed{Renewal: renewal, Directory: d.directory()})
	case storeDown:
		d.handle(LeaseRenewed{Renewal: renewal, Failed: true})
	case storeFenced:
		d.handle(LeaseRenewed{Renewal: renewal, Fenced: true})
	}
}

func (d *desk) directory() []EntryRow {
	rows := []EntryRow{{Name: "e1", Incarnation: "e1", Address: "e1"}}
	for _, name := range sortedKeys(d.peers) {
		rows = append(rows, EntryRow{
			Name: name, Incarnation: messenger.Incarnation(name), Address: name,
			Renewal: d.peers[name].renewal, Fenced: d.peers[name].fenced,
		})
	}
	return rows
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (d *desk) step(step scripter.Step) {
	d.t.Helper()
	d.now = step.At
	d.effects = nil
	d.apply(step)
	wanted := strings.Join(step.Want, "\n")
	var got []string
	for _, effect := range d.effects {
		if text := render(effect, wanted); text != "" {
			got = append(got, text)
		}
	}
	if diff := cmp.Diff(step.Want, got); diff != "" {
		d.t.Errorf("line %d: %s (-want +got):\n%s", step.Line, step.Verb, diff)
	}
}

// ready makes the entry active with the given agents and peers.
func (d *desk) ready(step scripter.Step) {
	d.tree = scriptTree(d.t, step)
	for _, name := range strings.FieldsFunc(step.Text("peers", ""), isComma) {
		d.peers[name] = &fakePeer{version: 1}
	}
	d.handle(SettingsRead{SentAt: d.time(), Version: 1, Tree: &d.tree})
	d.handle(Tick{})
	for _, name := range strings.FieldsFunc(step.Text("agents", ""), isComma) {
		parts := strings.Split(name, ":")
		d.link(parts[0], parts[1], int(parts[2][0]-'0'))
	}
	for _, name := range sortedKeys(d.peers) {
		d.handle(PeerLinked{Name: name, Incarnation: messenger.Incarnation(name)})
	}
	if !step.Has("fresh") {
		d.keep(step.At+2*time.Second, nil)
	}
}

func isComma(r rune) bool { return r == ',' }

func scriptTree(t *testing.T, step scripter.Step) resolver.Tree {
	hedge := resolver.Duration(step.Duration(t, "hedge", 0))
	retry := step.Float(t, "retry", 0.1)
	results := step.Int(t, "results", resolver.Defaults().MaxResultBytes)
	firm := resolver.Firm{
		Settings: resolver.Overrides{HedgeAfter: &hedge, RetryBudget: &retry, MaxResultBytes: &results},
		Teams:    map[string]resolver.Team{"t1": {Weight: 1, MaxWaitingTasks: step.Int(t, "waiting", 0)}},
		Places:   map[string]resolver.Place{"sahel": {FailureDomains: map[string]resolver.FailureDomain{}}},
	}
	if target := step.Duration(t, "objective", 0); target > 0 {
		firm.Queues = map[string]resolver.Queue{"": {
			Service: "dispatch", StretchFactor: 1.6, TargetLatency: resolver.Duration(target),
		}}
	}
	for _, domain := range []string{"sousse", "monastir"} {
		firm.Places["sahel"].FailureDomains[domain] = resolver.FailureDomain{
			Services: map[string]resolver.Service{"dispatch": {}},
		}
	}
	return resolver.Tree{Firms: map[string]resolver.Firm{"lamis": firm}}
}

func (d *desk) link(name, domain string, slots int) {
	d.agents[name] = &fakeAgent{domain: domain, slots: slots}
	d.relink(name)
	d.report(name)
}

func (d *desk) relink(name string) {
	process, _, _ := strings.Cut(name, "~")
	d.handle(AgentLinked{Hello: messenger.Hello{
		Role: messenger.RoleAgent, Name: process, Incarnation: messenger.Incarnation(name),
		Firm: "lamis", Place: "sahel", FailureDomain: d.agents[name].domain,
	}})
}

func (d *desk) report(name string) {
	a := d.agents[name]
	a.sequence++
	d.receive(name, messenger.Report{Sequence: a.sequence, SettingsVersion: d.version, Load: messenger.EndpointLoad{
		Service: "dispatch", Slots: a.slots,
	}})
}

// keep lets time pass as in a running system, except for those that are silent.
func (d *desk) keep(until time.Duration, silent []string) {
	for ; d.now <= until; d.now += 100 * time.Millisecond {
		d.handle(Tick{})
		if d.now%(500*time.Millisecond) != 0 {
			continue
		}
		if d.store == storeUp {
			d.handle(SettingsRead{SentAt: d.time(), Version: d.version})
		}
		for _, name := range sortedKeys(d.agents) {
			if !slices.Contains(silent, name) {
				d.report(name)
			}
		}
		for _, name := range sortedKeys(d.peers) {
			if !slices.Contains(silent, name) {
				d.peers[name].renewal++
				d.peerStatus(name)
			}
		}
	}
}

func (d *desk) peerStatus(name string) {
	p := d.peers[name]
	p.sequence++
	m := messenger.PeerStatus{Sequence: p.sequence, EchoSequence: p.echo, SettingsVersion: p.version}
	if p.waiting > 0 {
		m.Waiting = []messenger.WaitingJob{{
			Firm: "lamis", Service: "dispatch", Priority: messenger.PriorityHigh, Tasks: p.waiting,
		}}
	}
	d.receive(name, m)
}
