package driver

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

var domains = []string{"sousse", "monastir", "mahdia", "hammamet"}

func testTree() resolver.Tree {
	place := resolver.Place{FailureDomains: make(map[string]resolver.FailureDomain)}
	for _, domain := range domains {
		place.FailureDomains[domain] = resolver.FailureDomain{
			Services: map[string]resolver.Service{serviceName: {}},
		}
	}
	return resolver.Tree{Firms: map[string]resolver.Firm{
		firmName: {Places: map[string]resolver.Place{placeName: place}},
	}}
}

func setState(tree resolver.Tree, domain string, state messenger.DomainState) resolver.Tree {
	changed := testTree()
	for name, d := range tree.Firms[firmName].Places[placeName].FailureDomains {
		changed.Firms[firmName].Places[placeName].FailureDomains[name] = d
	}
	d := changed.Firms[firmName].Places[placeName].FailureDomains[domain]
	d.Settings.State = &state
	changed.Firms[firmName].Places[placeName].FailureDomains[domain] = d
	return changed
}

func testWorld(seed uint64) *World {
	return &World{Seed: seed, Entries: 3, Agents: 11, Slots: 8, Domains: domains, Tree: testTree()}
}

func testSubmission(id string, random *rand.Rand, tasks int) messenger.Submission {
	submission := messenger.Submission{
		Key:      messenger.SubmissionKey{Firm: firmName, Service: serviceName, ID: id},
		Kind:     messenger.KindJob,
		Deadline: 20 * time.Second,
		Digest:   id,
	}
	for i := range tasks {
		payload, err := json.Marshal(Payload{
			RunTime: 50*time.Millisecond + time.Duration(random.Int64N(int64(950*time.Millisecond))),
			Echo:    fmt.Sprintf("%s#%d", id, i),
		})
		if err != nil {
			panic(err)
		}
		submission.Tasks = append(submission.Tasks, messenger.TaskSpec{Payload: payload})
	}
	return submission
}

// loadStart leaves the entries time to become ready; before that they refuse.
const loadStart = 3 * time.Second

// load submits a job every interval, to the entries in turn, and every third of
// them again a little later to another entry.
func load(w *World, jobs int, interval time.Duration) {
	random := rand.New(rand.NewPCG(w.Seed, 99))
	for i := range jobs {
		id := fmt.Sprintf("job-%03d", i)
		submission := testSubmission(id, random, 1+random.IntN(12))
		entry := fmt.Sprintf("entry-%d", i%w.Entries+1)
		at := loadStart + time.Duration(i)*interval
		w.At(at, func() { w.Submit(entry, submission) })
		if i%3 == 0 {
			again := fmt.Sprintf("entry-%d", (i+1)%w.Entries+1)
			w.At(at+time.Duration(random.Int64N(int64(3*time.Second))), func() { w.Submit(again, submission) })
		}
	}
}

type scenario struct {
	name string
	// guards says which failure the scenario guards against.
	guards string
	faults func(w *World)
	// complete is the share of submissions that must end complete.
	complete float64
}

var scenarios = []scenario{
	{"calm", "lost or doubled work without any fault", func(*World) {}, 1},
	{"entry_crash", "an owner that dies with jobs in flight", func(w *World) {
		w.At(4*time.Second, func() { w.CrashEntry("entry-1") })
	}, 0},
	{"entry_restart", "an owner that comes back under the same name", func(w *World) {
		w.At(4*time.Second, func() { w.RestartEntry("entry-1") })
	}, 0},
	{"entry_pause", "an owner that is frozen past its lease and returns", func(w *World) {
		w.At(4*time.Second, func() { w.PauseEntry("entry-1", 8*time.Second) })
	}, 0},
	{"agent_crash", "an agent that dies with tasks in flight", func(w *World) {
		w.At(4*time.Second, func() { w.CrashAgent("agent-03") })
	}, 0},
	{"agent_restart", "an agent that loses its start records", func(w *World) {
		w.At(4*time.Second, func() { w.RestartAgent("agent-03") })
	}, 0},
	{"agent_drain", "a planned stop of an agent that fails tasks", func(w *World) {
		w.At(4*time.Second, func() { w.DrainAgent("agent-03") })
	}, 1},
	{"entry_drain", "a planned stop of an entry that fails tasks", func(w *World) {
		w.At(4*time.Second, func() { w.DrainEntry("entry-1") })
	}, 0},
	{"link_cut", "messages that are lost while a link is silent", func(w *World) {
		w.At(4*time.Second, func() { w.Cut("entry-1", "agent-03") })
		w.At(6*time.Second, func() { w.Mend("entry-1", "agent-03") })
	}, 1},
	{"store_outage", "work that stops, or doubles, while the store is down", func(w *World) {
		w.At(4*time.Second, func() { w.StoreDown(true) })
		w.At(9*time.Second, func() { w.StoreDown(false) })
	}, 0},
	{"lost_replies", "writes whose reply is lost after they took effect", func(w *World) {
		w.LoseReplies = 0.2
	}, 1},
	{"entry_crash_in_outage", "an owner that dies while the store is down", func(w *World) {
		w.At(4*time.Second, func() { w.StoreDown(true) })
		w.At(5*time.Second, func() { w.CrashEntry("entry-1") })
		w.At(10*time.Second, func() { w.StoreDown(false) })
	}, 0},
	{"entry_and_agent_crash", "an owner and an agent that die together", func(w *World) {
		w.At(4*time.Second, func() { w.CrashEntry("entry-1"); w.CrashAgent("agent-01") })
	}, 0},
}

// Guards against broken invariants under each single fault and some pairs, for
// several seeds each.
func TestInvariantsUnderFaults(t *testing.T) {
	for _, s := range scenarios {
		for seed := uint64(1); seed <= 5; seed++ {
			t.Run(fmt.Sprintf("%s/seed_%d", s.name, seed), func(t *testing.T) {
				t.Parallel()
				runScenario(t, s, seed)
			})
		}
	}
}

func runScenario(t *testing.T, s scenario, seed uint64) {
	t.Logf("guards against %s; seed %d", s.guards, seed)
	w := testWorld(seed)
	w.Start()
	load(w, 80, 60*time.Millisecond)
	s.faults(w)
	w.Run(70 * time.Second)
	for _, violation := range w.Violations() {
		t.Error(violation)
	}
	complete, submissions := 0, 0
	for _, call := range w.Calls {
		if _, ok := call.Event.(coordinator.Submitted); !ok {
			continue
		}
		submissions++
		answer, answered := w.Answer(call.Call)
		if !answered && !w.entries[call.Entry].stopped() && call.Entry != "entry-1" {
			t.Errorf("call %d to %s was not answered", call.Call, call.Entry)
		}
		outcome, ok := answer.(coordinator.OutcomeAnswer)
		if ok && outcome.Outcome.Status == messenger.OutcomeComplete {
			complete++
		}
	}
	t.Logf("%d of %d submissions complete, %d starts", complete, submissions, len(w.Starts))
	if float64(complete) < s.complete*float64(submissions) {
		t.Errorf("%d of %d submissions complete, want a share of %g", complete, submissions, s.complete)
	}
}

// Guards against starts in a failure domain after it was taken out, and against
// jobs that fail because of it.
func TestNoStartAfterTakeOut(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			w := testWorld(seed)
			w.Start()
			load(w, 150, 60*time.Millisecond)
			w.At(4*time.Second, func() {
				w.Change("entry-2", func(tree resolver.Tree) resolver.Tree {
					return setState(tree, "sousse", messenger.DomainOut)
				})
			})
			w.Run(60 * time.Second)
			for _, violation := range w.Violations() {
				t.Error(violation)
			}
			if len(w.Accepted) != 1 {
				t.Fatalf("%d changes accepted", len(w.Accepted))
			}
			if n := w.StartsAfterTakeOut("sousse", w.Accepted[0].At, time.Hour); n > 0 {
				t.Errorf("%d starts after the take-out", n)
			}
			for _, answer := range w.Answers {
				if a, ok := answer.Answer.(coordinator.OutcomeAnswer); !ok || a.Outcome.Status != messenger.OutcomeComplete {
					t.Errorf("call %d was not complete: %+v", answer.Call, answer.Answer)
				}
			}
		})
	}
}
