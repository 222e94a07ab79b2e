package checker

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/driver"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

var domains = []string{"sousse", "monastir", "mahdia"}

func testTree(out string) resolver.Tree {
	place := resolver.Place{FailureDomains: make(map[string]resolver.FailureDomain)}
	for _, name := range domains {
		domain := resolver.FailureDomain{Services: map[string]resolver.Service{"dispatch": {}}}
		if name == out {
			state := messenger.DomainOut
			domain.Settings.State = &state
		}
		place.FailureDomains[name] = domain
	}
	return resolver.Tree{Firms: map[string]resolver.Firm{"lamis": {Places: map[string]resolver.Place{"sahel": place}}}}
}

func takeOut(domain string) func(resolver.Tree) resolver.Tree {
	return func(resolver.Tree) resolver.Tree { return testTree(domain) }
}

func testWorld(seed uint64, slots int) *driver.World {
	return &driver.World{Seed: seed, Entries: 3, Agents: 6, Slots: slots, Domains: domains, Tree: testTree("")}
}

func submission(id string, tasks int, run time.Duration) messenger.Submission {
	s := messenger.Submission{
		Key:  messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: id},
		Kind: messenger.KindJob, Deadline: 20 * time.Second, Digest: id,
	}
	for i := range tasks {
		payload, err := json.Marshal(driver.Payload{RunTime: run, Echo: fmt.Sprintf("%s#%d", id, i)})
		if err != nil {
			panic(err)
		}
		s.Tasks = append(s.Tasks, messenger.TaskSpec{Payload: payload})
	}
	return s
}

// submitAll submits one job every 20 ms from 3 s on, to the entries in turn, and
// submits each job again to the next entry resubmitAfter later.
func submitAll(w *driver.World, jobs, tasks int, resubmitAfter time.Duration) {
	for i := range jobs {
		s := submission(fmt.Sprintf("job-%02d", i), tasks, 300*time.Millisecond)
		at := 3*time.Second + time.Duration(i)*20*time.Millisecond
		w.At(at, func() { w.Submit(fmt.Sprintf("entry-%d", i%3+1), s) })
		w.At(at+resubmitAfter, func() { w.Submit(fmt.Sprintf("entry-%d", (i+1)%3+1), s) })
	}
}

// randomFaults schedules three random faults and two settings changes. The outage and
// the delay of the store and all cuts of links end at 10 s.
func randomFaults(w *driver.World, random *rand.Rand) {
	faults := []func(){
		func() { w.RestartEntry("entry-1") },
		func() { w.PauseEntry("entry-2", 6*time.Second) },
		func() { w.RestartAgent("agent-02") },
		func() { w.SilenceLink("agent-03", "entry-3") },
		func() { w.CutLink("entry-1", "agent-01") },
		func() { w.LostReplyShare = 0.3 },
		func() { w.MaxStoreDelay = time.Second },
		func() { w.SetStoreDown(true) },
		func() { w.Network = driver.Network{Duplicate: 0.2, Late: 0.2, LateBy: 500 * time.Millisecond} },
		func() { w.SetEndpointFailing("agent-04", true) },
		func() { w.DrainAgent("agent-05") },
	}
	for range 3 {
		at := 3*time.Second + time.Duration(random.Int64N(int64(4*time.Second)))
		w.At(at, faults[random.IntN(len(faults))])
	}
	for _, entry := range []string{"entry-2", "entry-3"} {
		at := 3*time.Second + time.Duration(random.Int64N(int64(4*time.Second)))
		w.At(at, func() { w.ChangeSettings(entry, takeOut(domains[random.IntN(len(domains))])) })
	}
	w.At(10*time.Second, func() {
		w.SetStoreDown(false)
		w.MaxStoreDelay = 0
		w.RestoreAllLinks()
	})
}

// Guards against histories that are not linearizable under random faults: a second
// start of a task, two different outcomes, a task or submission that is reported as
// not run although it has started, or a settings version that is reverted or too old.
func TestHistoriesUnderRandomFaults(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d", seed)
			w := testWorld(seed, 4)
			w.Start()
			submitAll(w, 60, 3, 2*time.Second)
			randomFaults(w, rand.New(rand.NewPCG(seed, 7)))
			w.Run(30 * time.Second)
			if err := errors.Join(CheckSubmissions(w), CheckSettings(w)); err != nil {
				t.Error(err)
			}
			if len(w.Starts) == 0 || len(w.Answers) == 0 || len(w.Observations) == 0 {
				t.Errorf("the history lacks operations: %d starts, %d answers, %d settings observations", len(w.Starts), len(w.Answers), len(w.Observations))
			}
		})
	}
}
