package checker

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/driver"
)

// plantedFault is a fault that a wrapper of the decision code or the run itself adds,
// with a run in which the checker must find it.
type plantedFault struct {
	name  string
	slots int
	entry func(name string, state driver.EntryDecider) driver.EntryDecider
	agent func(name string, state driver.AgentDecider) driver.AgentDecider
	run   func(w *driver.World)
	check func(w *driver.World) error
}

var plantedFaults = []plantedFault{
	{
		name: "intent_write_skipped", slots: 4, check: CheckSubmissions,
		entry: func(_ string, state driver.EntryDecider) driver.EntryDecider { return &skipsIntent{state} },
		run:   func(w *driver.World) { submitAll(w, 20, 2, 100*time.Millisecond) },
	},
	{
		name: "tombstone_ignored", slots: 1, check: CheckSubmissions,
		agent: func(_ string, state driver.AgentDecider) driver.AgentDecider { return &startsRefused{state} },
		run:   runReturnedQueue,
	},
	{
		name: "fence_ignored", slots: 1, check: CheckSubmissions,
		agent: func(_ string, state driver.AgentDecider) driver.AgentDecider { return &startsFenced{state} },
		run:   runFence,
	},
	{
		name: "outcome_before_row", slots: 4, check: CheckSubmissions,
		entry: func(_ string, state driver.EntryDecider) driver.EntryDecider { return &answersEarly{state} },
		run:   runTwoDeciders,
	},
	{
		name: "lower_version_wins", slots: 4, check: CheckSettings,
		entry: func(_ string, state driver.EntryDecider) driver.EntryDecider {
			return &revertsSettings{EntryDecider: state}
		},
		run: runChanges,
	},
	{
		name: "agent_ignores_versions", slots: 4, check: CheckSettings,
		agent: func(_ string, state driver.AgentDecider) driver.AgentDecider { return &ignoresNewSettings{state} },
		run:   runChanges,
	},
	{
		name: "both_racers_accepted", slots: 4, check: CheckSettings,
		run: func(w *driver.World) {
			w.At(4*time.Second, func() {
				w.ChangeSettingsFrom("entry-1", 1, takeOut("sousse"))
				w.ChangeSettingsFrom("entry-2", 1, takeOut("mahdia"))
			})
			// The loser of the race is marked as accepted, as if the table had confirmed
			// both changes.
			w.At(8*time.Second, func() {
				for i := range w.Changes {
					w.Changes[i].Conflict = false
					w.Changes[i].Accepted = true
				}
			})
		},
	},
}

// Guards against checkers that miss a fault: each planted fault must be found with
// each seed, and the same run without the fault must pass.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, fault := range plantedFaults {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s/seed_%d", fault.name, seed), func(t *testing.T) {
				t.Parallel()
				t.Logf("seed %d", seed)
				w := testWorld(seed, fault.slots)
				w.NewEntry, w.NewAgent = fault.entry, fault.agent
				w.Start()
				fault.run(w)
				w.Run(30 * time.Second)
				if err := fault.check(w); !errors.Is(err, ErrNotLinearizable) {
					t.Errorf("the planted fault was not found: %v", err)
				}
				if fault.entry != nil || fault.agent != nil {
					runWithoutFault(t, fault, seed)
				}
			})
		}
	}
}

func runWithoutFault(t *testing.T, fault plantedFault, seed uint64) {
	w := testWorld(seed, fault.slots)
	w.Start()
	fault.run(w)
	w.Run(30 * time.Second)
	if err := fault.check(w); err != nil {
		t.Errorf("without the planted fault: %v", err)
	}
}

// runReturnedQueue drains three agents while tasks of three entries are queued there.
// The agents refuse these tasks.
func runReturnedQueue(w *driver.World) {
	for i := range 30 {
		s := submission(fmt.Sprintf("job-%02d", i), 1, time.Second)
		w.At(3*time.Second, func() { w.Submit(fmt.Sprintf("entry-%d", i%3+1), s) })
	}
	for i := range 3 {
		w.At(3100*time.Millisecond, func() { w.DrainAgent(fmt.Sprintf("agent-%02d", i+1)) })
	}
}

// runFence crashes an entry while tasks of three entries are queued at the agents, so
// that the agents fence the crashed entry.
func runFence(w *driver.World) {
	for i := range 30 {
		s := submission(fmt.Sprintf("job-%02d", i), 1, 6*time.Second)
		w.At(3*time.Second, func() { w.Submit(fmt.Sprintf("entry-%d", i%3+1), s) })
		w.At(5*time.Second, func() { w.Submit("entry-2", s) })
	}
	w.At(3100*time.Millisecond, func() { w.CrashEntry("entry-1") })
}

// runTwoDeciders makes an owner and its replacement decide on different outcomes: the
// agents finish the tasks while the owner is paused, and then restart without their
// records. The owner receives the results after its pause; the replacement cannot
// collect them.
func runTwoDeciders(w *driver.World) {
	for i := range 10 {
		s := submission(fmt.Sprintf("job-%02d", i), 2, 500*time.Millisecond)
		w.At(3*time.Second, func() { w.Submit("entry-1", s) })
		w.At(5*time.Second, func() { w.Submit("entry-2", s) })
	}
	w.At(3200*time.Millisecond, func() { w.PauseEntry("entry-1", 15*time.Second) })
	for i := range 6 {
		w.At(4500*time.Millisecond, func() { w.RestartAgent(fmt.Sprintf("agent-%02d", i+1)) })
	}
}

// runChanges changes the settings every 300 ms while the store's answers arrive late
// and out of order.
func runChanges(w *driver.World) {
	submitAll(w, 200, 3, time.Second)
	w.At(3*time.Second, func() { w.MaxStoreDelay = 2 * time.Second })
	for i := range 8 {
		at := 3*time.Second + time.Duration(i)*300*time.Millisecond
		w.At(at, func() { w.ChangeSettings(fmt.Sprintf("entry-%d", i%3+1), takeOut(domains[i%3])) })
	}
}

// skipsIntent is an entry that accepts each submission without writing the intent row.
type skipsIntent struct{ driver.EntryDecider }

func (e *skipsIntent) Handle(now time.Time, event coordinator.Event) []coordinator.Effect {
	var effects []coordinator.Effect
	for _, effect := range e.EntryDecider.Handle(now, event) {
		if commit, ok := effect.(coordinator.CommitIntent); ok {
			settled := coordinator.IntentSettled{Key: commit.Row.Key, Row: &commit.Row}
			effects = append(effects, e.EntryDecider.Handle(now, settled)...)
			continue
		}
		effects = append(effects, effect)
	}
	return effects
}

// answersEarly is an entry that answers with its outcome before the store has
// confirmed the outcome row.
type answersEarly struct{ driver.EntryDecider }

func (e *answersEarly) Handle(now time.Time, event coordinator.Event) []coordinator.Effect {
	effects := e.EntryDecider.Handle(now, event)
	for _, effect := range effects {
		if commit, ok := effect.(coordinator.CommitOutcome); ok {
			settled := coordinator.OutcomeSettled{Key: commit.Outcome.Key, Outcome: &commit.Outcome}
			effects = append(effects, e.EntryDecider.Handle(now, settled)...)
		}
	}
	return effects
}

// revertsSettings is an entry that replaces a higher settings version by a lower one.
type revertsSettings struct {
	driver.EntryDecider
	version uint64
}

func (e *revertsSettings) Handle(now time.Time, event coordinator.Event) []coordinator.Effect {
	if read, ok := event.(coordinator.SettingsRead); ok {
		if state, isState := e.EntryDecider.(*coordinator.State); isState && read.Version < e.version {
			e.EntryDecider = &coordinator.State{Config: state.Config, Random: state.Random}
		}
		e.version = read.Version
	}
	return e.EntryDecider.Handle(now, event)
}

// startsRefused is an agent that starts a task after a refusal that promises never to
// start it.
type startsRefused struct{ driver.AgentDecider }

func (a *startsRefused) Handle(now time.Time, event gatekeeper.Event) []gatekeeper.Effect {
	effects := a.AgentDecider.Handle(now, event)
	for _, effect := range effects {
		send, _ := effect.(gatekeeper.Send)
		if refused, ok := send.Message.(messenger.Refused); ok && refused.NeverStarted {
			effects = append(effects, gatekeeper.Invoke{Task: refused.Task, Attempt: refused.Attempt, Payload: []byte("{}")})
		}
	}
	return effects
}

// startsFenced is an agent that answers a fence and then starts the queued tasks of
// the fenced owner.
type startsFenced struct{ driver.AgentDecider }

func (a *startsFenced) Handle(now time.Time, event gatekeeper.Event) []gatekeeper.Effect {
	effects := a.AgentDecider.Handle(now, event)
	for _, effect := range effects {
		send, _ := effect.(gatekeeper.Send)
		fenced, _ := send.Message.(messenger.Fenced)
		for _, record := range fenced.Records {
			if record.StoppedByFence {
				effects = append(effects, gatekeeper.Invoke{Task: record.Task, Attempt: record.Attempt, Payload: []byte("{}")})
			}
		}
	}
	return effects
}

// ignoresNewSettings is an agent that never applies a settings version above 1.
type ignoresNewSettings struct{ driver.AgentDecider }

func (a *ignoresNewSettings) Handle(now time.Time, event gatekeeper.Event) []gatekeeper.Effect {
	if received, ok := event.(gatekeeper.Received); ok {
		if status, isStatus := received.Message.(messenger.Status); isStatus && status.SettingsVersion > 1 {
			status.SettingsVersion = 1
			status.Settings = nil
			event = gatekeeper.Received{From: received.From, Message: status}
		}
	}
	return a.AgentDecider.Handle(now, event)
}
