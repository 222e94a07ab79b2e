// Package driver simulates several entries and agents: it runs their decision code with
// small fakes of the table, the links and the endpoints, on a virtual clock. Random
// values are drawn from a seed; the same seed and the same calls give the same run.
package driver

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/scheduler"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Delays, time limits and intervals of the fakes, as in the deployments of the design
// page.
const (
	linkDelay            = 500 * time.Microsecond
	writeLatency         = 4 * time.Millisecond
	readLatency          = time.Millisecond
	storeTimeout         = 2 * time.Second
	storeRetryInterval   = 200 * time.Millisecond
	settingsPollInterval = 500 * time.Millisecond
	announceInterval     = time.Second
)

// World is one simulated run. The fields up to NewAgent and the hooks OnEvent and
// OnEffect must be set before Start; the faults LostReplyShare, MaxStoreDelay and
// Network may also change during the run. The other exported fields are the history of
// the run.
type World struct {
	Seed    uint64
	Entries int
	// Domains are the names of the failure domains. Agents are assigned to them in turn.
	Domains []string
	Agents  int
	Slots   int
	// MaxStoreOutage replaces the entries' default of that setting unless it is 0.
	MaxStoreOutage time.Duration
	// Tree holds the settings of version 1.
	Tree resolver.Tree
	// LostReplyShare is the share of table writes whose reply is lost, from 0 to 1.
	LostReplyShare float64
	// MaxStoreDelay is the upper limit of the random delay of each reply of the table.
	MaxStoreDelay time.Duration
	// Network sets the faults of all links.
	Network Network
	// NewEntry and NewAgent, if set, wrap the decision code of each new process.
	NewEntry func(name string, state EntryDecider) EntryDecider
	NewAgent func(name string, state AgentDecider) AgentDecider

	// Starts lists all starts of tasks at endpoints.
	Starts []EndpointStart
	// Answers lists all answers that callers have received.
	Answers []CallerAnswer
	// Calls lists all calls that callers have made.
	Calls []CallerCall
	// Accepted lists the accepted changes of the settings.
	Accepted []AcceptedChange
	// Changes lists all attempts to change the settings.
	Changes []Change
	// Observations lists the settings versions that were observed in force at processes.
	Observations []SettingsObservation
	// OnEvent, if set, is called with each event before an entry handles the event.
	OnEvent func(entry messenger.Incarnation, now time.Time, event coordinator.Event)
	// OnEffect, if set, is called with each effect of an entry before it is executed.
	OnEffect func(entry messenger.Incarnation, now time.Time, effect coordinator.Effect)

	random        *rand.Rand
	now           time.Time
	startTime     time.Time
	schedule      scheduler.Schedule
	entries       map[string]*entryNode
	agents        map[string]*agentNode
	lastCall      coordinator.CallID
	table         fakeTable
	cutLinks      map[[2]string]bool
	silencedLinks map[[2]string]bool
	handlers      map[messenger.Incarnation]func(sender messenger.Incarnation, m messenger.Message)
	processNames  map[messenger.Incarnation]string
	incarnations  int
}

// EndpointStart is one start of a task at an endpoint.
type EndpointStart struct {
	Task          messenger.TaskKey
	Attempt       int
	Agent         string
	FailureDomain string
	At            time.Duration
}

// CallerCall is one call of a caller.
type CallerCall struct {
	Call  coordinator.CallID
	Entry string
	Event coordinator.Event
	At    time.Duration
}

// CallerAnswer is one answer to a caller.
type CallerAnswer struct {
	Call   coordinator.CallID
	Answer coordinator.Answer
	At     time.Duration
}

// Change is one attempt to change the settings by compare-and-set. If neither Accepted
// nor Conflict is true, the outcome is unknown.
type Change struct {
	Entry    string
	Expected uint64
	Accepted bool
	Conflict bool
	From, To time.Duration
}

// SettingsObservation is a settings version that was in force at a process.
type SettingsObservation struct {
	Process messenger.Incarnation
	Version uint64
	At      time.Duration
}

// AcceptedChange is a change of the settings that was accepted.
type AcceptedChange struct {
	Version uint64
	At      time.Duration
}

// Start starts the entries and the agents.
func (w *World) Start() {
	w.random = rand.New(rand.NewPCG(w.Seed, w.Seed))
	w.startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w.now = w.startTime
	w.entries = make(map[string]*entryNode)
	w.agents = make(map[string]*agentNode)
	w.cutLinks = make(map[[2]string]bool)
	w.silencedLinks = make(map[[2]string]bool)
	w.handlers = make(map[messenger.Incarnation]func(messenger.Incarnation, messenger.Message))
	w.processNames = make(map[messenger.Incarnation]string)
	w.table = newFakeTable(w.Tree)
	for i := range w.Entries {
		w.startEntry(fmt.Sprintf("entry-%d", i+1))
	}
	for i := range w.Agents {
		w.startAgent(fmt.Sprintf("agent-%02d", i+1), w.Domains[i%len(w.Domains)])
	}
}

// Elapsed returns the time since the start of the run.
func (w *World) Elapsed() time.Duration {
	return w.now.Sub(w.startTime)
}

// Run simulates the run up to the given time since its start.
func (w *World) Run(until time.Duration) {
	end := w.startTime.Add(until)
	w.schedule.RunUntil(&w.now, end)
	w.now = end
}

// At schedules a step of the test at the given time since the start.
func (w *World) At(at time.Duration, do func()) {
	w.scheduleAt(w.startTime.Add(at), do)
}

// after schedules a step after the delay and a random jitter of up to a quarter of the
// delay, so that the order of steps differs between seeds.
func (w *World) after(delay time.Duration, do func()) {
	jitter := time.Duration(w.random.Int64N(int64(delay)/4 + 1))
	w.scheduleAt(w.now.Add(delay+jitter), do)
}

func (w *World) scheduleAt(at time.Time, do func()) {
	w.schedule.Add(at, do)
}

// newIncarnation returns a new, unique incarnation of the named process.
func (w *World) newIncarnation(name string) messenger.Incarnation {
	w.incarnations++
	return messenger.Incarnation(fmt.Sprintf("%s~%d", name, w.incarnations))
}
