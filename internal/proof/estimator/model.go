package estimator

import "math"

// Target is the size that the page is computed for.
type Target struct {
	Workers, Slots int
	// Starts is the peak of task starts per second.
	Starts         float64
	Teams          int
	ChangesPerDay  float64
	StoreWrites    float64
	StoreReads     float64
	AgentCores     float64
	AgentMemory    float64
	AgentBytes     float64
	Load           float64
	WorkersPerRack int
	Domains        int
}

// DesignTarget is the size in about two years, as the design page states it. The
// load and the workers per rack are today's.
func DesignTarget() Target {
	return Target{
		Workers: 1300, Slots: slots, Starts: 100_000, Teams: 67, ChangesPerDay: 4200,
		StoreWrites: 300, StoreReads: 2000, AgentCores: 0.016, AgentMemory: 64 << 20, AgentBytes: 25_000,
		Load: 0.7, WorkersPerRack: 3, Domains: domainCount,
	}
}

const (
	secondsPerDay = 86_400
	// controlPerSecond is the rate of reports on a link, and also that of statuses.
	controlPerSecond        = 2
	ticksPerSecond          = 50
	outcomeRetentionSeconds = 60
	recordRetentionSeconds  = 600
	// heapGrowth is the size of the heap before a collection in relation to the live
	// objects, with Go's default setting.
	heapGrowth = 2
	micro      = 1e-6
)

// JobsPerSecond is the rate of jobs of a mean size.
func (t Target) JobsPerSecond(tasks float64) float64 { return t.Starts / tasks }

// MeanRunTime is the longest mean run time in seconds at which the slots carry the
// starts at the load.
func (t Target) MeanRunTime() float64 {
	return float64(t.Workers*t.Slots) * t.Load / t.Starts
}

// RowsPerTransaction is how many intent and outcome rows each transaction has to
// hold. Each entry also renews its row once a second.
func (t Target) RowsPerTransaction(tasks float64, entries int) float64 {
	return 2 * t.JobsPerSecond(tasks) / (t.StoreWrites - float64(entries))
}

// CommitWait is the mean wait in seconds for the next transaction of the entry,
// when the entries share the writes evenly.
func (t Target) CommitWait(entries int) float64 {
	return float64(entries) / (t.StoreWrites - float64(entries)) / 2
}

// RecordsPerAgent is how many start records an agent holds at the peak.
func (t Target) RecordsPerAgent() float64 {
	return t.Starts / float64(t.Workers) * recordRetentionSeconds
}

// TasksInDoubt is how many running tasks a number of lost workers had.
func (t Target) TasksInDoubt(workers float64) float64 {
	return workers * float64(t.Slots) * t.Load
}

// JobsTouched is how many live jobs had a task on lost workers, if the tasks of a
// job are spread over all workers.
func (t Target) JobsTouched(workers, tasks float64) float64 {
	live := t.TasksInDoubt(float64(t.Workers)) / tasks
	return live * (1 - math.Pow(1-workers/float64(t.Workers), tasks))
}

// OutcomeRowBytes is the size of an outcome row in its JSON form, in which results
// are base64.
func OutcomeRowBytes(tasks, result float64) float64 {
	const fixed, perTask = 200, 40
	return fixed + tasks*(perTask+result*4/3)
}

// EntryNeed holds the resources that one of a number of entries needs, and those that
// an agent needs for all of the entries.
type EntryNeed struct {
	Entries int
	// DecisionCores is the load of the control goroutine, LinkCores that of all links.
	DecisionCores, LinkCores float64
	CacheBytes               float64
	// ControlBytes and ControlCores are the needs of an idle agent; BusyCores also
	// includes the agent's share of starts and results.
	ControlBytes, ControlCores, BusyCores float64
}

// EntryNeeds computes the resources for a number of entries and a mean job size.
func (t Target) EntryNeeds(s Slopes, entries int, tasks float64) EntryNeed {
	n, agents := float64(entries), float64(t.Workers)
	share := t.Starts / n
	task := s.ByID["entry.cpu.task.1300"]
	// A message that is sent alone costs more than messages that share a packet.
	// Therefore the cost of a link is interpolated at its own message rate, which
	// consists of starts, results, reports and statuses.
	rate := 2*t.Starts/agents/n + 2*controlPerSecond
	busyLink := s.ByID["link.message.cpu"].Interpolate(rate*busyLinks) / busyLinks / 2
	idleLink := s.ByID["link.idle.cpu"].Slope / 2
	decision := share*task.Slope + share/tasks*math.Max(0, task.Intercept)
	decision += controlPerSecond*(s.ByID["entry.cpu.report"].At(agents)+s.ByID["entry.cpu.status"].At(agents)) +
		ticksPerSecond*s.ByID["entry.cpu.tick"].At(agents)
	control := n * (idleLink + controlPerSecond*(s.ByID["agent.cpu.report"].Slope+s.ByID["agent.cpu.status"].Slope+
		s.ByID["codec.report.cpu"].Slope+s.ByID["codec.status.cpu"].Intercept))
	busy := n*(busyLink+controlPerSecond*(s.ByID["agent.cpu.report"].Slope+s.ByID["agent.cpu.status"].Slope)) +
		t.Starts/agents*s.ByID["agent.cpu.task"].Intercept
	settled, settledTask := s.ByID["entry.memory.settled"].Slope, s.ByID["entry.memory.settled_task"].Slope
	return EntryNeed{
		Entries:       entries,
		DecisionCores: decision * micro,
		LinkCores:     agents * busyLink * micro,
		CacheBytes:    outcomeRetentionSeconds * share * (settledTask + (settled-settledTask)/tasks),
		ControlBytes: n * (s.ByID["link.idle.bytes"].Slope + s.ByID["entry.control.bytes"].At(n) +
			controlPerSecond*s.ByID["codec.report.bytes"].Slope),
		ControlCores: control * micro,
		BusyCores:    busy * micro,
	}
}

// FenceBytes is how many bytes all agents return in a takeover, if the callers of all
// live jobs of the dead entry query the same other entry.
func (t Target) FenceBytes(s Slopes, entries int) float64 {
	return t.fenceRecords(entries) * s.ByID["codec.fenced.bytes"].Slope
}

func (t Target) fenceRecords(entries int) float64 {
	return t.TasksInDoubt(float64(t.Workers)) / float64(entries)
}
