package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/scheduler"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// The fleet of these tests, in the proportions of customer K of docs/dev/hard-load.md:
// uneven endpoints, three classes of jobs, and declared run times that are wrong by up to
// 40%.
const (
	lateEndpoints    = 12
	lateSlots        = 8
	lateTaskMilliCPU = 3000
	lateLinkDelay    = 2 * time.Millisecond
	lateAgentQueue   = 4
	// lateReportTicks is the number of ticks between two reports of an agent.
	lateReportTicks = 5
)

var lateSpeeds = []float64{0.55, 1.2, 1.2, 1.2}

// jobClass is a class of jobs as the page lists it.
type jobClass struct {
	name            string
	mean, most      int
	run             time.Duration
	priority        messenger.Priority
	onTime, tooLate float64
}

var lateClasses = [3]jobClass{
	{"short", 8, 32, 60 * time.Millisecond, messenger.PriorityHigh, 0.00485, 0.00097},
	{"medium", 2, 8, 200 * time.Millisecond, messenger.PriorityNormal, 0.00167, 0.000333},
	{"long", 4, 16, 900 * time.Millisecond, messenger.PriorityLow, 0.0267, 0.00533},
}

// loadPhase is a time in which the work of each class arrives at a multiple of the
// capacity.
type loadPhase struct {
	span time.Duration
	load [3]float64
}

// offeredJob is a job with what happened to it.
type offeredJob struct {
	submission messenger.Submission
	class      int
	runs       []time.Duration
	objective  time.Duration
	sentAt     time.Time
	answeredAt time.Time
	refusal    *messenger.Refusal
	started    bool
	used       float64 // core-seconds of its runs
}

// simulatedAgent runs tasks in its slots and lets some wait by priority.
type simulatedAgent struct {
	name    string
	speed   float64
	running int
	queue   []waitingStart
	// runs holds the attempts that run; an ended one is removed.
	runs map[copyKey]time.Time
}

type waitingStart struct {
	entry int
	start messenger.Start
}

// lateSimulation runs entries and agents on a virtual clock.
type lateSimulation struct {
	t        *testing.T
	now      time.Time
	schedule scheduler.Schedule
	entries  []*State
	agents   []*simulatedAgent
	jobs     []*offeredJob
	calls    map[messenger.SubmissionKey]*offeredJob
	sequence uint64
	// peerDelay is the delay of messages between entries.
	peerDelay time.Duration
}

func (s *lateSimulation) after(d time.Duration, do func()) { s.schedule.Add(s.now.Add(d), do) }

func newLateSimulation(t *testing.T, seed uint64, lateValue float64, entries int) *lateSimulation {
	s := &lateSimulation{
		t: t, now: time.Unix(1_000_000, 0), calls: map[messenger.SubmissionKey]*offeredJob{}, peerDelay: lateLinkDelay,
	}
	for i := range lateEndpoints {
		s.agents = append(s.agents, &simulatedAgent{
			name: fmt.Sprint("a", i), speed: lateSpeeds[i%len(lateSpeeds)], runs: map[copyKey]time.Time{},
		})
	}
	for i := range entries {
		name := fmt.Sprint("e", i)
		state := &State{Config: Defaults(name, messenger.Incarnation(name), name), Random: rand.New(rand.NewPCG(seed, uint64(i)))}
		state.Config.EntryLease = time.Hour
		s.entries = append(s.entries, state)
	}
	for i := range s.entries {
		s.prepare(i, lateValue)
	}
	return s
}

func (s *lateSimulation) prepare(entry int, lateValue float64) {
	queues := map[string]resolver.Queue{}
	for _, c := range lateClasses {
		queues[c.name] = resolver.Queue{
			Service: "dispatch", StretchFactor: 1.6, TargetLatency: resolver.Duration(60 * time.Millisecond),
		}
	}
	tree := &resolver.Tree{Firms: map[string]resolver.Firm{"lamis": {
		Settings: resolver.Overrides{LateValue: &lateValue},
		Queues:   queues,
		Places: map[string]resolver.Place{"sahel": {FailureDomains: map[string]resolver.FailureDomain{
			"sousse": {Services: map[string]resolver.Service{"dispatch": {}}},
		}}},
	}}}
	s.handle(entry, SettingsRead{SentAt: s.now, Version: 1, Tree: tree})
	for _, a := range s.agents {
		s.handle(entry, AgentLinked{Hello: messenger.Hello{
			Role: messenger.RoleAgent, Name: a.name, Incarnation: messenger.Incarnation(a.name),
			Firm: "lamis", Place: "sahel", FailureDomain: "sousse",
		}})
	}
	for i, peer := range s.entries {
		if i != entry {
			s.handle(entry, PeerLinked{Name: peer.Config.Name, Incarnation: peer.Config.Incarnation})
		}
	}
	s.after(0, func() { s.tick(entry) })
}

func (s *lateSimulation) tick(entry int) {
	s.handle(entry, Tick{})
	s.sequence++
	if s.sequence%lateReportTicks == 0 || s.now.Equal(time.Unix(1_000_000, 0)) {
		for _, a := range s.agents {
			s.handle(entry, Received{From: messenger.Incarnation(a.name), Message: messenger.Report{
				Sequence: s.sequence, SettingsVersion: 1, Load: a.load(),
			}})
		}
	}
	s.after(TickInterval, func() { s.tick(entry) })
}

func (s *lateSimulation) handle(entry int, event Event) {
	effects := s.entries[entry].Handle(s.now, event)
	checkLateStarts(s.t, s.entries[entry], effects)
	for _, effect := range effects {
		switch e := effect.(type) {
		case RenewLease:
			s.after(0, func() { s.handle(entry, LeaseRenewed{Renewal: e.Renewal}) })
		case Send:
			s.send(entry, e)
		case Reply:
			s.answered(e)
		}
	}
}

func (s *lateSimulation) send(entry int, e Send) {
	for i, peer := range s.entries {
		if peer.Config.Incarnation == e.To {
			from := s.entries[entry].Config.Incarnation
			s.after(s.peerDelay, func() { s.handle(i, Received{From: from, Message: e.Message}) })
			return
		}
	}
	at := slices.IndexFunc(s.agents, func(a *simulatedAgent) bool { return a.name == string(e.To) })
	switch m := e.Message.(type) {
	case messenger.Start:
		s.after(lateLinkDelay, func() { s.started(entry, s.agents[at], m) })
	case messenger.Cancel:
		s.after(lateLinkDelay, func() { s.cancelled(entry, s.agents[at], m) })
	}
}

func (a *simulatedAgent) load() messenger.EndpointLoad {
	return messenger.EndpointLoad{
		Service: "dispatch", Slots: lateSlots, Running: a.running, Queued: len(a.queue),
		Capacity: messenger.Resources{MilliCPU: lateSlots * lateTaskMilliCPU},
		Taken:    messenger.Resources{MilliCPU: (a.running + len(a.queue)) * lateTaskMilliCPU},
	}
}

func (s *lateSimulation) reply(entry int, a *simulatedAgent, m messenger.Message) {
	s.after(lateLinkDelay, func() { s.handle(entry, Received{From: messenger.Incarnation(a.name), Message: m}) })
}

func (s *lateSimulation) started(entry int, a *simulatedAgent, m messenger.Start) {
	switch {
	case a.running < lateSlots:
		s.run(entry, a, m)
	case len(a.queue) < lateAgentQueue:
		at := slices.IndexFunc(a.queue, func(w waitingStart) bool { return w.start.Priority < m.Priority })
		if at < 0 {
			at = len(a.queue)
		}
		a.queue = slices.Insert(a.queue, at, waitingStart{entry, m})
	default:
		s.reply(entry, a, messenger.Refused{
			Task: m.Task, Attempt: m.Attempt, Reason: messenger.RefusedQueueFull, NeverStarted: true, Load: a.load(),
		})
	}
}

func (s *lateSimulation) run(entry int, a *simulatedAgent, m messenger.Start) {
	j := s.calls[m.Task.Submission]
	if j.refusal != nil && j.refusal.Code == messenger.CodeNotRun {
		s.t.Fatalf("%v starts after its job was refused as not run", m.Task)
	}
	j.started = true
	a.running++
	key := copyKey{task: m.Task, attempt: m.Attempt}
	began := s.now
	a.runs[key] = began
	run := time.Duration(float64(j.runs[m.Task.Index]) / a.speed)
	s.after(run, func() {
		if a.runs[key].Equal(began) {
			s.end(entry, a, key, messenger.TaskSucceeded)
		}
	})
}

func (s *lateSimulation) end(entry int, a *simulatedAgent, key copyKey, state messenger.TaskState) {
	took := s.now.Sub(a.runs[key])
	delete(a.runs, key)
	a.running--
	s.calls[key.task.Submission].used += took.Seconds() * lateTaskMilliCPU / 1000
	if len(a.queue) > 0 {
		next := a.queue[0]
		a.queue = a.queue[1:]
		s.run(next.entry, a, next.start)
	}
	s.reply(entry, a, messenger.Finished{
		Task: key.task, Attempt: key.attempt, RunTime: took, Outcome: messenger.TaskOutcome{State: state}, Load: a.load(),
	})
}

func (s *lateSimulation) cancelled(entry int, a *simulatedAgent, m messenger.Cancel) {
	key := copyKey{task: m.Task, attempt: m.Attempt}
	if _, runs := a.runs[key]; runs {
		s.end(entry, a, key, messenger.TaskInterrupted)
		return
	}
	before := len(a.queue)
	a.queue = slices.DeleteFunc(a.queue, func(w waitingStart) bool {
		return w.start.Task == m.Task && w.start.Attempt == m.Attempt
	})
	if len(a.queue) < before {
		s.reply(entry, a, messenger.Cancelled{
			Task: m.Task, Attempt: m.Attempt, State: messenger.RecordTombstoned, NeverStarted: true,
		})
	}
}

func (s *lateSimulation) answered(reply Reply) {
	j := s.jobs[reply.Call-1]
	if !j.answeredAt.IsZero() {
		s.t.Fatalf("%v was answered twice", j.submission.Key)
	}
	j.answeredAt = s.now
	if refused, ok := reply.Answer.(RefusalAnswer); ok {
		j.refusal = &refused.Refusal
		notRun := refused.Refusal.Code == messenger.CodeNotRun || refused.Refusal.Code == messenger.CodeOverloaded
		if notRun && j.started {
			s.t.Fatalf("%v was refused as not run after a task had started", j.submission.Key)
		}
	}
}

// offer schedules the jobs of the phases, one after another, each class as a Poisson
// process. The jobs depend only on the seed.
func (s *lateSimulation) offer(seed uint64, phases []loadPhase, entryOf func(number int) int) {
	capacity := 0.0
	for i := range lateEndpoints {
		capacity += lateSpeeds[i%len(lateSpeeds)] * lateSlots
	}
	for class, c := range lateClasses {
		random := rand.New(rand.NewPCG(seed, uint64(100+class)))
		jobRate := capacity / (float64(c.mean) * c.run.Seconds())
		start := time.Second
		for _, phase := range phases {
			end := start + phase.span
			for at := start; phase.load[class] > 0; {
				at += time.Duration(random.ExpFloat64() / (jobRate * phase.load[class]) * float64(time.Second))
				if at >= end {
					break
				}
				j := newOfferedJob(random, class, len(s.jobs))
				s.jobs = append(s.jobs, j)
				s.calls[j.submission.Key] = j
				call, entry := CallID(len(s.jobs)), entryOf(len(s.jobs))
				s.after(at, func() {
					j.sentAt = s.now
					s.handle(entry, Submitted{Call: call, Submission: j.submission, ReceivedAt: s.now})
				})
			}
			start = end
		}
	}
}

func newOfferedJob(random *rand.Rand, class, number int) *offeredJob {
	c := lateClasses[class]
	j := &offeredJob{class: class, submission: messenger.Submission{
		Key:      messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: fmt.Sprint("j", number)},
		Priority: c.priority, Deadline: 20 * time.Second, Queue: c.name, Volatile: true, MaxAttempts: 2,
	}}
	uneven := func() time.Duration { return time.Duration(float64(c.run) * (0.6 + 0.8*random.Float64())) }
	for range min(c.most, 1+int(random.ExpFloat64()*float64(c.mean-1)+0.5)) {
		j.submission.Tasks = append(j.submission.Tasks, messenger.TaskSpec{
			DeclaredRunTime: uneven(), Size: messenger.Resources{MilliCPU: lateTaskMilliCPU},
		})
		j.runs = append(j.runs, uneven())
	}
	j.objective = time.Duration(1.6*float64(criticalPathOf(j.submission))) + 60*time.Millisecond
	return j
}
