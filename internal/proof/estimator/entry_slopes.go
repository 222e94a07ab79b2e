package estimator

import (
	"fmt"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// agentCounts are the numbers of agents at which costs are measured, from a present
// deployment to the target.
var agentCounts = []int{11, 110, 500, 1300}

// entryMemory measures the heap that the state of an entry retains.
func (s *Slopes) entryMemory() error {
	memory := func(id, what, per string, sizes []int, build func(n int) any) error {
		slope := Slope{ID: id, What: what, Unit: "bytes", Per: per}
		return s.measure(slope, sizes, func(n int) (float64, error) {
			return heapBytes(func() any { return build(n) }), nil
		})
	}
	err := memory("entry.memory.job", "entry heap, live jobs of one sent task with 256 B payload", "live job",
		[]int{1000, 2000, 4000, 8000}, func(n int) any { return liveJobs(n, 1) })
	if err != nil {
		return err
	}
	err = memory("entry.memory.task", "entry heap, sent tasks with 256 B payload in 40 live jobs", "task",
		[]int{400, 2000, 4000, 8400}, func(n int) any { return liveJobs(40, n/40) })
	if err != nil {
		return err
	}
	err = memory("entry.memory.agent", "entry heap, agents that have reported", "agent", agentCounts,
		func(n int) any { return newEntry(n, 15) })
	if err != nil {
		return err
	}
	err = memory("entry.memory.ticket", "entry heap, used tickets in blocks of 100 whose jobs are forgotten", "ticket",
		[]int{1000, 2000, 4000, 8000}, usedTickets)
	if err != nil {
		return err
	}
	err = memory("entry.memory.settled", "entry heap, settled jobs of one task (256 B payload and result) in the cache", "settled job",
		[]int{1000, 2000, 4000, 8000}, func(n int) any { return settledJobs(n, 1) })
	if err != nil {
		return err
	}
	return memory("entry.memory.settled_task", "entry heap, tasks (256 B payload and result) of 40 settled jobs in the cache", "settled task",
		[]int{400, 2000, 4000, 8400}, func(n int) any { return settledJobs(40, n/40) })
}

func liveJobs(jobs, tasks int) *entry {
	e := newEntry(1300, 15)
	e.holdResults = true
	for range jobs {
		e.submit(tasks)
	}
	return e
}

func settledJobs(jobs, tasks int) *entry {
	e := newEntry(1300, 15)
	for range jobs {
		e.submit(tasks)
		e.finishAll()
	}
	return e
}

// usedTickets returns an entry with used tickets whose settled jobs have expired from
// the cache, so that only the tickets are measured.
func usedTickets(n int) any {
	const block = 100
	e := newEntry(11, 0)
	for range n / block {
		for _, id := range e.tickets(block) {
			e.submitTicket(id)
			e.finishAll()
		}
	}
	for range 2 * 62 {
		e.advanceStatusInterval()
	}
	return e
}

func (e *entry) tickets(count int) []string {
	e.calls++
	request := coordinator.TicketsRequested{Call: e.calls, Firm: firmName, Service: serviceName, Count: count}
	for _, effect := range e.state.Handle(e.now, request) {
		if reply, ok := effect.(coordinator.Reply); ok {
			if answer, ok := reply.Answer.(coordinator.TicketsAnswer); ok {
				return answer.IDs
			}
		}
	}
	return nil
}

func (e *entry) submitTicket(id string) {
	submission := e.submission(1, payloadBytes)
	submission.Key.ID = id
	e.calls++
	e.handle(coordinator.Submitted{Call: e.calls, Submission: submission})
}

// entryCPU measures the decisions of an entry.
func (s *Slopes) entryCPU() error {
	for _, agents := range agentCounts {
		slope := Slope{
			ID:   fmt.Sprintf("entry.cpu.task.%d", agents),
			What: fmt.Sprintf("entry CPU of a whole job without codec and links, %d agents; the intercept is the admission", agents),
			Unit: "µs", Per: "task (start and result)",
		}
		err := s.measure(slope, []int{1, 10, 50, 210}, func(tasks int) (float64, error) {
			e := newEntry(agents, 15)
			return cpuPer(func(calls int) { e.runJobs(calls, tasks) }), nil
		})
		if err != nil {
			return err
		}
	}
	return s.entryControlCPU()
}

// entryControlCPU measures the work that grows with the number of agents.
func (s *Slopes) entryControlCPU() error {
	type control struct {
		id, what string
		run      func(e *entry, calls int)
	}
	for _, c := range []control{
		{"entry.cpu.report", "entry CPU to take one report of every agent", func(e *entry, calls int) {
			for range calls {
				e.sequence++
				for _, a := range e.agents {
					e.report(a)
				}
			}
		}},
		{"entry.cpu.status", "entry CPU of a tick that sends a status to every agent and 15 peers", func(e *entry, calls int) {
			for range calls {
				e.now = e.now.Add(e.state.Config.StatusInterval)
				e.pingFromAll()
				e.tick()
			}
		}},
		{"entry.cpu.tick", "entry CPU of a tick without status", func(e *entry, calls int) {
			for range calls {
				e.tick()
			}
		}},
		{"entry.cpu.push", "entry CPU of a settings change pushed to every agent", func(e *entry, calls int) {
			for range calls {
				e.pushSettings()
			}
		}},
	} {
		slope := Slope{ID: c.id, What: c.what, Unit: "µs", Per: "agent"}
		err := s.measure(slope, agentCounts, func(agents int) (float64, error) {
			e := newEntry(agents, 15)
			return cpuPer(func(calls int) { c.run(e, calls) }), nil
		})
		if err != nil {
			return err
		}
	}
	return s.entryRareCPU()
}

// entryJobsCPU measures single events against the number of jobs, tickets or
// label sets that the entry holds; none of them should grow with it.
func (s *Slopes) entryJobsCPU() error {
	type growth struct {
		id, what, per string
		sizes         []int
		prepare       func(n int) *entry
		run           func(e *entry)
	}
	jobs := []int{1000, 2000, 4000, 8000}
	for _, g := range []growth{
		{"entry.cpu.forward", "entry CPU of one forwarded query with its answer", "settled job", jobs,
			func(n int) *entry { return settledJobs(n, 1) }, (*entry).forward},
		{"entry.cpu.caller_gone", "entry CPU of one caller that hangs up", "settled job", jobs,
			func(n int) *entry { return settledJobs(n, 1) },
			func(e *entry) { e.handle(coordinator.CallerGone{Call: 1 << 60}) }},
		{"entry.cpu.jobs_tick", "entry CPU of a tick without status, 11 agents", "live job", jobs,
			waitingJobs, (*entry).tick},
		{"entry.cpu.settling_tick", "entry CPU of a tick without status, 11 agents, store out", "job without outcome row", jobs,
			unsettledJobs, (*entry).tick},
		{"entry.cpu.settling_outcome", "entry CPU of one job of one task", "job without outcome row", jobs,
			unsettledJobs, func(e *entry) {
				e.holdOutcomes = false
				e.runJobs(1, 1)
			}},
		{"entry.cpu.ticket", "entry CPU of one submission by ticket", "ticket block in force", jobs,
			ticketBlocks, func(e *entry) {
				e.submitTicket(e.tickets(1)[0])
				e.finishAll()
			}},
		{"entry.cpu.label_sets", "entry CPU of one tick, 11 agents", "label set seen before", []int{100, 200, 400, 800},
			labelSets, (*entry).tick},
	} {
		slope := Slope{ID: g.id, What: g.what, Unit: "µs", Per: g.per}
		err := s.measure(slope, g.sizes, func(n int) (float64, error) {
			e := g.prepare(n)
			return cpuPer(func(calls int) {
				for range calls {
					g.run(e)
				}
			}), nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func waitingJobs(n int) *entry {
	e := newEntry(11, 15)
	e.holdResults = true
	for range n {
		e.submit(1)
	}
	return e
}

func unsettledJobs(n int) *entry {
	e := newEntry(11, 15)
	e.holdOutcomes = true
	for range n {
		e.submit(1)
		e.finishAll()
	}
	return e
}

func ticketBlocks(n int) *entry {
	e := newEntry(11, 15)
	for range n {
		e.tickets(1)
	}
	return e
}

func labelSets(n int) *entry {
	e := newEntry(0, 15)
	for i := range 11 {
		e.link(i)
	}
	labels := make([]string, n)
	for i := range labels {
		labels[i] = fmt.Sprintf("label-%04d", i)
	}
	for range 4 {
		e.now = e.now.Add(e.state.Config.StatusInterval)
		e.sequence++
		for _, a := range e.agents {
			load := messenger.EndpointLoad{Service: serviceName, Slots: slots, Labels: labels}
			e.receive(a, messenger.Report{Sequence: e.sequence, Load: load, SettingsVersion: 1})
		}
		e.tick()
	}
	for _, label := range labels {
		submission := e.submission(1, payloadBytes)
		submission.Tasks[0].Labels = []string{label}
		e.calls++
		e.handle(coordinator.Submitted{Call: e.calls, Submission: submission})
		e.finishAll()
	}
	return e
}
