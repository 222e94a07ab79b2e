package estimator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

const (
	firmName    = "lamis"
	serviceName = "dispatch"
	regions     = 2
	// domainCount is the number of failure domains over all regions.
	domainCount = 7
	slots       = 8
	// payloadBytes is the size of payloads and results where no other is stated.
	payloadBytes = 256
	ownName      = messenger.Incarnation("entry-01~0123456789abcdef")
)

// entry drives the decision state of one entry without sockets. Effects that need an
// answer are answered immediately, except as holdResults and holdOutcomes state.
type entry struct {
	state  *coordinator.State
	now    time.Time
	agents []messenger.Incarnation
	peers  []messenger.Incarnation
	jobs   int
	calls  coordinator.CallID
	// sequence is the sequence number of the last reports of agents and peers.
	sequence uint64
	starts   []coordinator.Send
	// holdResults leaves started tasks without a result.
	holdResults bool
	// holdOutcomes leaves the writes of outcome rows unanswered.
	holdOutcomes bool
	// countBytes makes the entry add the encoded size of each status that it sends
	// to an agent to sentBytes. failed is the last encoding error.
	countBytes bool
	sentBytes  int
	encodeErr  error
}

func processName(kind string, i int) messenger.Incarnation {
	return messenger.Incarnation(fmt.Sprintf("%s-%04d~0123456789abcdef", kind, i))
}

func domainOf(i int) (place, domain string) {
	return fmt.Sprintf("region_%d", i%domainCount%regions), fmt.Sprintf("domain_%d", i%domainCount)
}

func entryRow(i int, renewal uint64) coordinator.EntryRow {
	return coordinator.EntryRow{
		Name: fmt.Sprintf("entry-%04d", i), Incarnation: processName("entry", i),
		Address: fmt.Sprintf("10.20.30.%d:7400", i+1), Renewal: renewal,
	}
}

// newEntry returns an active entry with agents that have reported.
func newEntry(agents, peers int) *entry {
	e := &entry{
		now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		state: &coordinator.State{Config: coordinator.Defaults("entry-01", ownName, "10.20.30.200:7400"), Random: rand.New(rand.NewPCG(1, 2))},
	}
	tree := tree(domainCount)
	e.handle(coordinator.SettingsRead{SentAt: e.now, Version: 1, Tree: &tree})
	for i := range peers {
		e.peers = append(e.peers, processName("entry", i))
		e.handle(coordinator.PeerLinked{Name: fmt.Sprintf("entry-%04d", i), Incarnation: e.peers[i]})
	}
	e.tick()
	for i := range agents {
		e.link(i)
	}
	// The ramp-up of new endpoints ends after a second.
	for range 4 {
		e.advanceStatusInterval()
	}
	return e
}

func (e *entry) link(i int) {
	place, domain := domainOf(i)
	hello := messenger.Hello{
		Role: messenger.RoleAgent, Name: fmt.Sprintf("agent-%04d", i), Incarnation: processName("agent", i),
		Firm: firmName, Place: place, FailureDomain: domain,
	}
	e.agents = append(e.agents, hello.Incarnation)
	e.handle(coordinator.AgentLinked{Hello: hello})
}

// advanceStatusInterval advances the clock by one status interval, with the reports
// of all processes and one tick.
func (e *entry) advanceStatusInterval() {
	e.now = e.now.Add(e.state.Config.StatusInterval)
	e.sequence++
	for _, a := range e.agents {
		e.report(a)
	}
	for _, p := range e.peers {
		e.receive(p, messenger.PeerStatus{Sequence: e.sequence, EchoSequence: e.sequence, SettingsVersion: 1})
	}
	e.tick()
}

func (e *entry) report(a messenger.Incarnation) {
	load := messenger.EndpointLoad{Service: serviceName, Slots: slots}
	e.receive(a, messenger.Report{Sequence: e.sequence, Load: load, SettingsVersion: 1})
}

func (e *entry) tick() { e.handle(coordinator.Tick{}) }

func (e *entry) receive(from messenger.Incarnation, m messenger.Message) {
	e.handle(coordinator.Received{From: from, Message: m})
}

func (e *entry) handle(event coordinator.Event) {
	for _, effect := range e.state.Handle(e.now, event) {
		e.execute(effect)
	}
}

func (e *entry) execute(effect coordinator.Effect) {
	switch x := effect.(type) {
	case coordinator.Send:
		e.executeSend(x)
	case coordinator.CommitIntent:
		e.handle(coordinator.IntentSettled{Key: x.Row.Key, Row: &x.Row})
	case coordinator.CommitOutcome:
		if !e.holdOutcomes {
			e.handle(coordinator.OutcomeSettled{Key: x.Outcome.Key, Outcome: &x.Outcome})
		}
	case coordinator.RenewLease:
		e.handle(coordinator.LeaseRenewed{Renewal: x.Renewal, Directory: e.directory(x.Renewal)})
	default:
		// Replies and reads are handled by the methods that need them, which call
		// state.Handle directly; decisions are ignored.
	}
}

func (e *entry) executeSend(x coordinator.Send) {
	switch m := x.Message.(type) {
	case messenger.Start:
		if !e.holdResults {
			e.starts = append(e.starts, x)
		}
	case messenger.Status:
		if e.countBytes {
			e.countStatus(m)
		}
	default:
	}
}

func (e *entry) countStatus(m messenger.Message) {
	data, err := messenger.Encode(m)
	if err != nil {
		e.encodeErr = err
	}
	e.sentBytes += len(data)
}

func (e *entry) directory(renewal uint64) []coordinator.EntryRow {
	rows := make([]coordinator.EntryRow, 0, len(e.peers))
	for i := range e.peers {
		rows = append(rows, entryRow(i, renewal))
	}
	return rows
}

// submission returns a submission with a new id.
func (e *entry) submission(tasks, payload int) messenger.Submission {
	e.jobs++
	return newSubmission(e.jobs, tasks, payload)
}

// newSubmission allocates each string and payload separately, as the decoder does.
func newSubmission(number, tasks, payload int) messenger.Submission {
	s := messenger.Submission{
		Key:      messenger.SubmissionKey{Firm: firmName, Service: serviceName, ID: fmt.Sprintf("reprice-%020d", number)},
		Kind:     messenger.KindJob,
		Team:     fmt.Sprintf("team-%02d", number%67),
		Deadline: 30 * time.Second,
		Digest:   fmt.Sprintf("%064d", number),
		Tasks:    make([]messenger.TaskSpec, tasks),
	}
	for i := range s.Tasks {
		s.Tasks[i].Payload = make([]byte, payload)
	}
	return s
}

// submit submits a job; its tasks start while slots are free.
func (e *entry) submit(tasks int) {
	e.calls++
	e.handle(coordinator.Submitted{Call: e.calls, Submission: e.submission(tasks, payloadBytes)})
}

// finishAll answers every start, including those that follow from free slots.
func (e *entry) finishAll() {
	for len(e.starts) > 0 {
		send := e.starts[0]
		e.starts = e.starts[1:]
		start := send.Message.(messenger.Start)
		e.receive(send.To, messenger.Finished{
			Task: start.Task, Attempt: start.Attempt, RunTime: 100 * time.Millisecond,
			Outcome: messenger.TaskOutcome{State: messenger.TaskSucceeded, Result: make([]byte, payloadBytes)},
			Load:    messenger.EndpointLoad{Slots: slots},
		})
	}
}

// runJobs runs whole jobs from the submission to the outcome. The clock advances
// 1 ms per job and the agents report once a second, so that reports contribute
// hardly anything to the measured cost.
func (e *entry) runJobs(jobs, tasks int) {
	for range jobs {
		e.now = e.now.Add(time.Millisecond)
		e.submit(tasks)
		e.finishAll()
		if e.jobs%1000 == 0 {
			e.advanceStatusInterval()
		}
	}
}

// tree returns settings with the given number of leaves: services, spread evenly over
// the failure domains.
func tree(leaves int) resolver.Tree {
	places := make(map[string]resolver.Place)
	limit := 1
	for i := range leaves {
		place, domain := domainOf(i)
		if places[place].FailureDomains == nil {
			places[place] = resolver.Place{FailureDomains: make(map[string]resolver.FailureDomain)}
		}
		if _, ok := places[place].FailureDomains[domain]; !ok {
			places[place].FailureDomains[domain] = resolver.FailureDomain{Services: make(map[string]resolver.Service)}
		}
		name := serviceName
		if i >= domainCount {
			name = fmt.Sprintf("service_%d", i/domainCount)
		}
		places[place].FailureDomains[domain].Services[name] = resolver.Service{Settings: resolver.Overrides{QueueLimit: &limit}}
	}
	return resolver.Tree{Firms: map[string]resolver.Firm{firmName: {Teams: teams(), Places: places}}}
}

func teams() map[string]resolver.Team {
	all := make(map[string]resolver.Team)
	for i := range 67 {
		all[fmt.Sprintf("team-%02d", i)] = resolver.Team{Weight: 1 + i%3}
	}
	return all
}
