package estimator

import (
	"fmt"
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// agent drives the decision state of one agent without sockets.
type agent struct {
	state    *gatekeeper.State
	now      time.Time
	entries  []messenger.Incarnation
	sequence uint64
	tasks    int
	// decoded passes every start through the codec, so that the strings of each start
	// are allocated separately.
	decoded bool
}

// newAgent returns a serving agent with links to entries.
func newAgent(entries int) *agent {
	name := processName("agent", 1)
	a := &agent{
		state: &gatekeeper.State{Name: "agent-0001", Incarnation: name},
		now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	a.announce()
	for i := range entries {
		a.entries = append(a.entries, processName("entry", i))
		a.handle(gatekeeper.EntryLinked{Entry: a.entries[i]})
	}
	a.receiveStatuses()
	return a
}

func (a *agent) announce() {
	a.handle(gatekeeper.EndpointAnnounced{Service: serviceName, Slots: slots})
}

func (a *agent) handle(event gatekeeper.Event) []gatekeeper.Effect {
	effects := a.state.Handle(a.now, event)
	for _, effect := range effects {
		if send, ok := effect.(gatekeeper.Send); ok {
			if report, ok := send.Message.(messenger.Report); ok {
				a.sequence = report.Sequence
			}
		}
	}
	return effects
}

func (a *agent) receiveStatuses() {
	for _, entry := range a.entries {
		a.handle(gatekeeper.Received{From: entry, Message: messenger.Status{
			EchoSequence: a.sequence, SettingsVersion: 1,
			Settings: &messenger.AgentSettings{
				Version: 1, State: messenger.DomainIn, QueueLimit: 2,
				SettingsLease: 2500 * time.Millisecond, StartFreshness: 3 * time.Second, RecordRetention: 10 * time.Minute,
			},
		}})
	}
}

// runTask starts one task and delivers its result. It returns an error if the
// gatekeeper refuses the start, since then no task would be measured.
func (a *agent) runTask(result int) error {
	a.tasks++
	start := messenger.Start{
		Task:  taskKey(a.tasks),
		Owner: a.entries[a.tasks%len(a.entries)], AgentIncarnation: a.state.Incarnation, ReportSequence: a.sequence,
		TimeLeft: 30 * time.Second, Payload: make([]byte, payloadBytes),
	}
	if a.decoded {
		m, err := encodeAndDecode(start)
		if err != nil {
			return err
		}
		start = m.(messenger.Start)
	}
	if !invokes(a.handle(gatekeeper.Received{From: start.Owner, Message: start})) {
		return fmt.Errorf("start of %s not accepted", start.Task)
	}
	outcome := messenger.TaskOutcome{State: messenger.TaskSucceeded, Result: make([]byte, result)}
	a.handle(gatekeeper.Invoked{Task: start.Task, Outcome: outcome, RunTime: 100 * time.Millisecond})
	return nil
}

// invokes reports whether the effects pass a start on to the endpoint. They may also
// contain reports of the changed load.
func invokes(effects []gatekeeper.Effect) bool {
	return slices.ContainsFunc(effects, func(effect gatekeeper.Effect) bool {
		_, ok := effect.(gatekeeper.Invoke)
		return ok
	})
}

func taskKey(n int) messenger.TaskKey {
	id := fmt.Sprintf("reprice-%020d", n/10)
	return messenger.TaskKey{Submission: messenger.SubmissionKey{Firm: firmName, Service: serviceName, ID: id}, Index: n % 10}
}

func encodeAndDecode(m messenger.Message) (messenger.Message, error) {
	data, err := messenger.Encode(m)
	if err != nil {
		return nil, err
	}
	return messenger.Decode(data)
}

// agentMemory measures the heap that the state of an agent retains.
func (s *Slopes) agentMemory() error {
	sizes := []int{6000, 12000, 24000, 48000}
	records := Slope{ID: "agent.memory.record", What: "agent heap, start records of finished tasks with an empty result", Unit: "bytes", Per: "start record"}
	if err := s.measure(records, sizes, func(n int) (float64, error) { return agentHeap(n, 0) }); err != nil {
		return err
	}
	results := Slope{ID: "agent.memory.result", What: "agent heap, start records of finished tasks with a kept result of 256 B", Unit: "bytes", Per: "kept result"}
	if err := s.measure(results, sizes, func(n int) (float64, error) { return agentHeap(n, payloadBytes) }); err != nil {
		return err
	}
	witnessed := Slope{ID: "agent.memory.witnessed", What: "agent heap, witnessed outcomes of 10 tasks with 256 B each", Unit: "bytes", Per: "witnessed outcome"}
	return s.measure(witnessed, []int{500, 1000, 2000, 4000}, func(n int) (float64, error) {
		var failed error
		size := heapBytes(func() any {
			a := newAgent(16)
			failed = a.receiveWitnesses(n)
			return a
		})
		return size, failed
	})
}

func agentHeap(records, result int) (float64, error) {
	var failed error
	size := heapBytes(func() any {
		a := newAgent(16)
		a.decoded = true
		for range records {
			if failed = a.runTask(result); failed != nil {
				break
			}
		}
		return a
	})
	return size, failed
}

func (a *agent) receiveWitnesses(count int) error {
	for i := range count {
		m, err := encodeAndDecode(messenger.Witness{Owner: a.entries[0], Outcome: outcome(i, 10, payloadBytes)})
		if err != nil {
			return err
		}
		a.handle(gatekeeper.Received{From: a.entries[0], Message: m})
	}
	return nil
}

func outcome(n, tasks, result int) messenger.Outcome {
	o := messenger.Outcome{Key: taskKey(10 * n).Submission, Status: messenger.OutcomeComplete, Digest: fmt.Sprintf("%064d", n)}
	for range tasks {
		o.Tasks = append(o.Tasks, messenger.TaskOutcome{State: messenger.TaskSucceeded, Result: make([]byte, result)})
	}
	return o
}

// agentCPU measures the decisions of an agent against the number of entries, and
// against the records that it holds.
func (s *Slopes) agentCPU() error {
	entries := []int{4, 8, 16, 32}
	reports := Slope{ID: "agent.cpu.report", What: "agent CPU of a tick that reports to every entry, with an announcement", Unit: "µs", Per: "entry"}
	err := s.measure(reports, entries, func(n int) (float64, error) {
		a := newAgent(n)
		return cpuPer(func(calls int) {
			for range calls {
				a.now = a.now.Add(500 * time.Millisecond)
				a.announce()
				a.handle(gatekeeper.Tick{})
			}
		}), nil
	})
	if err != nil {
		return err
	}
	status := Slope{ID: "agent.cpu.status", What: "agent CPU to take a status from every entry", Unit: "µs", Per: "entry"}
	err = s.measure(status, entries, func(n int) (float64, error) {
		a := newAgent(n)
		return cpuPer(func(calls int) {
			for range calls {
				a.receiveStatuses()
			}
		}), nil
	})
	if err != nil {
		return err
	}
	return s.agentTaskCPU()
}

func (s *Slopes) agentTaskCPU() error {
	task := Slope{ID: "agent.cpu.task", What: "agent CPU of one start and result, without codec and links", Unit: "µs", Per: "start record kept"}
	sizes := []int{6000, 12000, 24000, 48000}
	err := s.measure(task, sizes, func(n int) (float64, error) {
		a, err := agentWithRecords(n)
		if err != nil {
			return 0, err
		}
		var failed error
		spent := cpuPer(func(calls int) {
			for range calls {
				if err := a.runTask(payloadBytes); err != nil {
					failed = err
				}
			}
		})
		return spent, failed
	})
	if err != nil {
		return err
	}
	tick := Slope{ID: "agent.cpu.tick", What: "agent CPU of a tick without a report", Unit: "µs", Per: "start record kept"}
	return s.measure(tick, sizes, func(n int) (float64, error) {
		a, err := agentWithRecords(n)
		return cpuPer(func(calls int) {
			for range calls {
				a.handle(gatekeeper.Tick{})
			}
		}), err
	})
}

func agentWithRecords(n int) (*agent, error) {
	a := newAgent(16)
	for range n {
		if err := a.runTask(payloadBytes); err != nil {
			return nil, err
		}
	}
	return a, nil
}
