package estimator

import (
	"fmt"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// recordsPerAgent is how many records each agent returns for a fence in the
// measurements.
const recordsPerAgent = 20

// entryRareCPU measures rare decisions, each on a new state.
func (s *Slopes) entryRareCPU() error {
	slope := Slope{
		ID: "entry.cpu.takeover", Unit: "µs", Per: "agent",
		What: "entry CPU of a takeover that collects 20 records from every agent, with 100 callers waiting",
	}
	err := s.measure(slope, agentCounts, func(agents int) (float64, error) {
		return cpuOnce(func() func() {
			e := newEntry(agents, 15)
			return func() { e.takeOver(100, recordsPerAgent) }
		}), nil
	})
	if err != nil {
		return err
	}
	slope = Slope{
		ID: "entry.cpu.takeover_callers", Unit: "µs", Per: "waiting caller",
		What: "entry CPU of a takeover with 110 agents and 20 records each",
	}
	err = s.measure(slope, []int{100, 200, 400, 800, 1600}, func(callers int) (float64, error) {
		return cpuOnce(func() func() {
			e := newEntry(110, 15)
			return func() { e.takeOver(callers, recordsPerAgent) }
		}), nil
	})
	if err != nil {
		return err
	}
	slope = Slope{
		ID: "entry.cpu.witness", Unit: "µs", Per: "agent",
		What: "entry CPU of one job of one task while the store is out, with its two witnesses",
	}
	err = s.measure(slope, agentCounts, func(agents int) (float64, error) {
		return cpuOnce(func() func() {
			e := newEntry(agents, 15)
			return func() { e.outage(jobsInOutage) }
		}) / jobsInOutage, nil
	})
	if err != nil {
		return err
	}
	return s.entryJobsCPU()
}

// jobsInOutage is the number of jobs over which the cost of witnesses is averaged.
const jobsInOutage = 200

// outage settles jobs while the store does not answer.
func (e *entry) outage(jobs int) {
	e.holdOutcomes = true
	for i := range jobs {
		e.submit(1)
		e.finishAll()
		if i == 0 {
			e.handle(coordinator.OutcomeSettled{Key: e.submission(1, 0).Key, Failed: true})
		}
	}
}

// pingFromAll delivers a ping from every agent, so that the entry does not treat the
// agents as lost. A ping changes nothing else.
func (e *entry) pingFromAll() {
	for _, a := range e.agents {
		e.receive(a, messenger.Ping{})
	}
}

func (e *entry) pushSettings() {
	e.now = e.now.Add(time.Millisecond)
	next := tree(domainCount)
	version := e.state.View().SettingsVersion + 1
	e.handle(coordinator.SettingsRead{SentAt: e.now, Version: version, Tree: &next})
}

// foreignRow returns the intent row of a new submission that another entry owns.
func (e *entry) foreignRow(owner messenger.Incarnation) coordinator.IntentRow {
	key := e.submission(1, 0).Key
	return coordinator.IntentRow{Key: key, Owner: owner, Tasks: 10, Deadline: time.Second}
}

// forward queries a submission that the first peer owns.
func (e *entry) forward() {
	row := e.foreignRow(e.peers[0])
	e.calls++
	e.handle(coordinator.Queried{Call: e.calls, Key: row.Key, Wait: true})
	for _, effect := range e.state.Handle(e.now, coordinator.IntentSettled{Key: row.Key, Row: &row}) {
		send, ok := effect.(coordinator.Send)
		if !ok {
			continue
		}
		outcome := &messenger.Outcome{Key: row.Key, Status: messenger.OutcomeComplete}
		e.receive(e.peers[0], messenger.Forwarded{Call: send.Message.(messenger.Forward).Call, Outcome: outcome})
	}
}

// takeOver makes callers wait for submissions of a dead owner, and answers the
// resulting fences with the given number of records per agent.
func (e *entry) takeOver(callers, records int) {
	owner := messenger.Incarnation(fmt.Sprintf("entry-dead~%016d", e.jobs))
	rows := make([]coordinator.IntentRow, callers)
	for i := range rows {
		rows[i] = e.foreignRow(owner)
		e.calls++
		e.handle(coordinator.Queried{Call: e.calls, Key: rows[i].Key, Wait: true})
		e.handle(coordinator.IntentSettled{Key: rows[i].Key, Row: &rows[i]})
	}
	// The next directory does not list the owner, so that no entry row is fenced.
	for range 3 {
		e.now = e.now.Add(e.state.Config.StatusInterval)
		e.pingFromAll()
		e.tick()
	}
	for i, a := range e.agents {
		agentRecords := make([]messenger.Record, records)
		for k := range agentRecords {
			task := messenger.TaskKey{Submission: rows[(i+k)%callers].Key, Index: (i*records + k) / callers % 10}
			agentRecords[k] = messenger.Record{Task: task, State: messenger.RecordFinished, Outcome: messenger.TaskOutcome{State: messenger.TaskSucceeded}}
		}
		e.receive(a, messenger.Fenced{Owner: owner, Records: agentRecords, Last: true})
	}
}

// controlBytes measures the bytes that an entry sends to one idle agent, by encoding
// the statuses that the entry sends.
func (s *Slopes) controlBytes() error {
	slope := Slope{
		ID: "entry.control.bytes", Unit: "bytes/s", Per: "entry in the directory",
		What: "encoded bytes that one entry sends to one idle agent, over 20 s",
	}
	return s.measure(slope, []int{4, 8, 16, 32}, func(entries int) (float64, error) {
		const seconds = 20
		e := newEntry(11, entries)
		e.countBytes = true
		for range 2 * seconds {
			e.advanceStatusInterval()
		}
		return float64(e.sentBytes) / seconds / float64(len(e.agents)), e.encodeErr
	})
}
