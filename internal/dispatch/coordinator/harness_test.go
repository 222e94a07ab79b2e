package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// harness drives one entry with agents that have reported, on its own clock. The
// table answers the lease at once and nothing else.
type harness struct {
	t       *testing.T
	state   *State
	now     time.Time
	entries int
	labels  []string
	agents  []messenger.Incarnation
	effects []Effect
}

func newHarness(t *testing.T, agents int, labels ...string) *harness {
	g := &harness{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), entries: 3, labels: labels}
	g.state = &State{Config: Defaults("e1", "e1~1", "10.0.0.1:1"), Random: rand.New(rand.NewPCG(1, 1))}
	domains := make(map[string]resolver.FailureDomain)
	for _, name := range []string{"sousse", "mahdia"} {
		domains[name] = resolver.FailureDomain{Services: map[string]resolver.Service{"dispatch": {}}}
	}
	places := map[string]resolver.Place{"sahel": {FailureDomains: domains}}
	tree := resolver.Tree{Firms: map[string]resolver.Firm{"lamis": {Places: places}}}
	g.handle(SettingsRead{SentAt: g.now, Version: 1, Tree: &tree})
	g.handle(Tick{})
	for i := range agents {
		// Neighbours in the order of names share a failure domain.
		domain := []string{"sousse", "mahdia"}[2*i/agents]
		hello := messenger.Hello{Role: messenger.RoleAgent, Name: fmt.Sprintf("a%03d", i), Firm: "lamis", Place: "sahel", FailureDomain: domain}
		hello.Incarnation = messenger.Incarnation(hello.Name + "~1")
		g.agents = append(g.agents, hello.Incarnation)
		g.handle(AgentLinked{Hello: hello})
	}
	g.advance(3 * time.Second)
	return g
}

// handle applies an event and answers renewals of the lease.
func (g *harness) handle(event Event) []Effect {
	effects := g.state.Handle(g.now, event)
	g.effects = append(g.effects, effects...)
	for _, effect := range effects {
		if renew, ok := effect.(RenewLease); ok {
			var rows []EntryRow
			for i := range g.entries {
				name := fmt.Sprintf("e%d", i+1)
				rows = append(rows, EntryRow{Name: name, Incarnation: messenger.Incarnation(name + "~1"), Address: "10.0.0.1:1", Renewal: renew.Renewal})
			}
			g.handle(LeaseRenewed{Renewal: renew.Renewal, Directory: rows})
		}
	}
	return effects
}

// advance lets time pass in steps of 500 ms, with reports of all agents.
func (g *harness) advance(by time.Duration) {
	for end := g.now.Add(by); g.now.Before(end); {
		g.now = g.now.Add(500 * time.Millisecond)
		load := messenger.EndpointLoad{Service: "dispatch", Slots: 8, Labels: g.labels}
		for _, a := range g.agents {
			g.handle(Received{From: a, Message: messenger.Report{Sequence: uint64(g.now.Unix()), Load: load, SettingsVersion: 1}})
		}
		g.handle(SettingsRead{SentAt: g.now, Version: 1})
		g.handle(Tick{})
	}
}

// submit admits a job of one task and returns the start that follows.
func (g *harness) submit(call CallID, id string, labels ...string) Send {
	g.t.Helper()
	key := messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: id}
	g.handle(Submitted{Call: call, Submission: messenger.Submission{
		Key: key, Kind: messenger.KindJob, Digest: id, Tasks: []messenger.TaskSpec{{Labels: labels}},
	}})
	for _, effect := range g.handle(IntentSettled{Key: key, Row: &IntentRow{Key: key, Owner: "e1~1", Digest: id, Tasks: 1}}) {
		if send, ok := effect.(Send); ok {
			return send
		}
	}
	g.t.Fatalf("no start for %s", id)
	return Send{}
}

func (g *harness) finish(start Send) {
	g.handle(Received{From: start.To, Message: messenger.Finished{
		Task:    start.Message.(messenger.Start).Task,
		Outcome: messenger.TaskOutcome{State: messenger.TaskSucceeded},
		Load:    messenger.EndpointLoad{Slots: 8},
	}})
}

func (g *harness) settle(id string) {
	key := messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: id}
	g.handle(OutcomeSettled{Key: key, Outcome: &messenger.Outcome{Key: key, Status: messenger.OutcomeComplete, Digest: id}})
}
