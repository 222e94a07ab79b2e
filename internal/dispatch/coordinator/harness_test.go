package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// harness drives one entry with reporting agents on a virtual clock. The table answers
// lease renewals at once and nothing else.
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
	h := &harness{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), entries: 3, labels: labels}
	h.state = &State{Config: Defaults("e1", "e1~1", "10.0.0.1:1"), Random: rand.New(rand.NewPCG(1, 1))}
	domains := make(map[string]resolver.FailureDomain)
	for _, name := range []string{"sousse", "mahdia"} {
		domains[name] = resolver.FailureDomain{Services: map[string]resolver.Service{"dispatch": {}}}
	}
	places := map[string]resolver.Place{"sahel": {FailureDomains: domains}}
	tree := resolver.Tree{Firms: map[string]resolver.Firm{"lamis": {Places: places}}}
	h.handle(SettingsRead{SentAt: h.now, Version: 1, Tree: &tree})
	h.handle(Tick{})
	for i := range agents {
		// Agents that are adjacent in name order share a failure domain.
		domain := []string{"sousse", "mahdia"}[2*i/agents]
		hello := messenger.Hello{Role: messenger.RoleAgent, Name: fmt.Sprintf("a%03d", i), Firm: "lamis", Place: "sahel", FailureDomain: domain}
		hello.Incarnation = messenger.Incarnation(hello.Name + "~1")
		h.agents = append(h.agents, hello.Incarnation)
		h.handle(AgentLinked{Hello: hello})
	}
	h.advance(3 * time.Second)
	return h
}

// handle applies an event and answers renewals of the lease.
func (h *harness) handle(event Event) []Effect {
	effects := h.state.Handle(h.now, event)
	h.effects = append(h.effects, effects...)
	for _, effect := range effects {
		if renew, ok := effect.(RenewLease); ok {
			var rows []EntryRow
			for i := range h.entries {
				name := fmt.Sprintf("e%d", i+1)
				rows = append(rows, EntryRow{Name: name, Incarnation: messenger.Incarnation(name + "~1"), Address: "10.0.0.1:1", Renewal: renew.Renewal})
			}
			h.handle(LeaseRenewed{Renewal: renew.Renewal, Directory: rows})
		}
	}
	return effects
}

// advance moves the clock forward in steps of 500 ms, with reports of all agents.
func (h *harness) advance(by time.Duration) {
	for end := h.now.Add(by); h.now.Before(end); {
		h.now = h.now.Add(500 * time.Millisecond)
		load := messenger.EndpointLoad{Service: "dispatch", Slots: 8, Labels: h.labels}
		for _, a := range h.agents {
			h.handle(Received{From: a, Message: messenger.Report{Sequence: uint64(h.now.Unix()), Load: load, SettingsVersion: 1}})
		}
		h.handle(SettingsRead{SentAt: h.now, Version: 1})
		h.handle(Tick{})
	}
}

// submit admits a job of one task and returns the start that follows.
func (h *harness) submit(call CallID, id string, labels ...string) Send {
	h.t.Helper()
	key := messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: id}
	h.handle(Submitted{Call: call, Submission: messenger.Submission{
		Key: key, Kind: messenger.KindJob, Digest: id, Tasks: []messenger.TaskSpec{{Labels: labels}},
	}})
	for _, effect := range h.handle(IntentSettled{Key: key, Row: &IntentRow{Key: key, Owner: "e1~1", Digest: id, Tasks: 1}}) {
		if send, ok := effect.(Send); ok {
			return send
		}
	}
	h.t.Fatalf("no start for %s", id)
	return Send{}
}

func (h *harness) finish(start Send) {
	h.handle(Received{From: start.To, Message: messenger.Finished{
		Task:    start.Message.(messenger.Start).Task,
		Outcome: messenger.TaskOutcome{State: messenger.TaskSucceeded},
		Load:    messenger.EndpointLoad{Slots: 8},
	}})
}

func (h *harness) settle(id string) {
	key := messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: id}
	h.handle(OutcomeSettled{Key: key, Outcome: &messenger.Outcome{Key: key, Status: messenger.OutcomeComplete, Digest: id}})
}
