package estimator

import "fmt"

// Status states whether the present code holds the target size of a row.
type Status string

// The statuses.
const (
	Carried     Status = "carried"
	NotCarried  Status = "**not carried**"
	NotMeasured Status = "**not measured**"
)

// Row is one line of a role's table. Mechanism is the path of a source file and,
// after #, a function or another word in that file.
type Row struct {
	Role, Quantity, Value, Limit, Headroom string
	Mechanism, Slope, Breaks               string
	Status                                 Status
}

// limited returns a row with the headroom of a value against a limit.
func limited(r Row, value, limit float64, unit string) Row {
	r.Value, r.Limit = quantity(value, unit), quantity(limit, unit)
	r.Headroom = headroom(limit / value)
	r.Status = Carried
	if value > limit {
		r.Status = NotCarried
	}
	return r
}

func headroom(times float64) string {
	if times >= 10 {
		return fmt.Sprintf("%.0f×", times)
	}
	return fmt.Sprintf("%.2g×", times)
}

func quantity(v float64, unit string) string {
	switch {
	case unit == "B" || unit == "B/s":
		return scaled(v) + unit
	case v >= 1000:
		return fmt.Sprintf("%.0f %s", v, unit)
	default:
		return fmt.Sprintf("%.3g %s", v, unit)
	}
}

func scaled(v float64) string {
	for _, prefix := range []struct {
		factor float64
		name   string
	}{{1e12, "T"}, {1e9, "G"}, {1e6, "M"}, {1e3, "k"}} {
		if v >= prefix.factor {
			return fmt.Sprintf("%.3g %s", v/prefix.factor, prefix.name)
		}
	}
	return fmt.Sprintf("%.3g ", v)
}

const (
	chosenEntries = 16
	chosenTasks   = 10
	// sustainedShare is the assumed mean rate over a day relative to the peak.
	sustainedShare = 0.25
)

// Rows computes the tables of the roles for 16 entries and 10 tasks per job.
func (t Target) Rows(s Slopes) []Row {
	need := t.EntryNeeds(s, chosenEntries, chosenTasks)
	rows := t.entryRows(s, need)
	rows = append(rows, t.agentRows(s, need)...)
	rows = append(rows, t.storeRows(s)...)
	return append(rows,
		Row{Role: "operator command", Quantity: "4,200 changes a day", Value: "0.049 /s", Limit: "not set", Mechanism: "internal/settings/versioner/versioner.go#Change", Slope: "settings.bytes", Breaks: "conflicts (409) of operators who change at once", Status: NotMeasured},
		Row{Role: "object store", Quantity: "all", Value: "0", Limit: "not set", Mechanism: "docs/design.md#object store", Slope: "none", Breaks: "nothing; it is not used today", Status: NotMeasured},
	)
}

func (t Target) entryRows(s Slopes, need EntryNeed) []Row {
	const state = "internal/dispatch/coordinator/state.go#Handle"
	share := t.Starts / chosenEntries
	agents := float64(t.Workers)
	return []Row{
		limited(Row{Role: "entry", Quantity: "control goroutine", Mechanism: state, Slope: "entry.cpu.task.1300, .report, .status, .tick", Breaks: "decisions queue behind each other"}, need.DecisionCores, 1, "cores"),
		limited(Row{Role: "entry", Quantity: "links with codec", Mechanism: "internal/transport/linker/link.go#serve", Slope: "link.message.cpu, link.idle.cpu", Breaks: "the host; its size is not stated, 2 cores are assumed"}, need.LinkCores, 2, "cores"),
		limited(Row{Role: "entry", Quantity: "heap of settled jobs, 60 s", Mechanism: "internal/dispatch/coordinator/settle.go#evict", Slope: "entry.memory.settled, .settled_task", Breaks: "memory; payloads stay after the outcome. 1 GB is assumed"}, heapGrowth*need.CacheBytes, 1e9, "B"),
		limited(Row{Role: "entry", Quantity: "stall of the control goroutine, status to all agents", Mechanism: "internal/dispatch/coordinator/settings.go#statusToAgents", Slope: "entry.cpu.status", Breaks: "one tick interval"}, s.ByID["entry.cpu.status"].At(agents)/1000, 20, "ms"),
		limited(Row{Role: "entry", Quantity: "settings push to all agents", Mechanism: "internal/dispatch/coordinator/settings.go#settingsChanged", Slope: "entry.cpu.push", Breaks: "the 4 s in which a change is in force"}, s.ByID["entry.cpu.push"].At(agents)/1000, 4000, "ms"),
		{Role: "entry", Quantity: "starts, results, reports, statuses", Value: quantity(2*share+2*controlPerSecond*agents, "messages/s"), Limit: "not set", Mechanism: "internal/dispatch/messenger/messages.go#Start", Slope: "link.message.cpu", Breaks: "see links", Status: Carried},
		{Role: "entry", Quantity: "UDP payload, 256 B payloads and results", Value: quantity(2*share*s.ByID["link.message.bytes"].Slope+agents*need.ControlBytes/chosenEntries, "B/s"), Limit: "not set", Mechanism: "internal/transport/linker/traffic.go#Traffic", Slope: "link.message.bytes, link.idle.bytes", Breaks: "the network of the host", Status: Carried},
		limited(Row{Role: "entry", Quantity: "store out for 60 s: list of jobs without outcome row, per tick", Mechanism: "internal/dispatch/coordinator/settle.go#settlingTick", Slope: "entry.cpu.settling_tick", Breaks: "one tick interval"}, s.ByID["entry.cpu.settling_tick"].At(outcomeRetentionSeconds*share/chosenTasks)/1000, 20, "ms"),
		limited(Row{Role: "entry", Quantity: "takeover: bytes of `fenced` in collect_patience", Mechanism: "internal/dispatch/gatekeeper/fences.go#recordsOf", Slope: "codec.fenced.bytes", Breaks: "larger results; 125 MB/s for 5 s is assumed"}, t.FenceBytes(s, chosenEntries), 625e6, "B"),
		limited(Row{Role: "entry", Quantity: "takeover: CPU of decoding and holding the records", Mechanism: "internal/dispatch/coordinator/takeover.go#fenced", Slope: "codec.fenced.cpu, entry.cpu.takeover", Breaks: "the entry's own lease of 3 s"}, t.fenceRecords(chosenEntries)*(s.ByID["codec.fenced.cpu"].Slope/2+s.ByID["entry.cpu.takeover"].Slope/recordsPerAgent)*micro, 3, "s"),
		{Role: "entry", Quantity: "quotas of 67 teams", Value: "an equal share per entry", Limit: "per firm", Mechanism: "internal/dispatch/coordinator/settings.go#setQuotas", Slope: "entry.cpu.task.1300, taken with 67 teams", Breaks: "callers of a team that all use one entry get that entry's share only", Status: Carried},
		{Role: "entry", Quantity: "HTTP of callers", Value: quantity(t.JobsPerSecond(chosenTasks)/chosenEntries, "jobs/s"), Limit: "not set", Mechanism: "internal/edge/server/jobs.go", Slope: "none", Breaks: "unknown; measure with the demo", Status: NotMeasured},
	}
}

func (t Target) agentRows(s Slopes, need EntryNeed) []Row {
	records := t.RecordsPerAgent()
	memory := heapGrowth * records * s.ByID["agent.memory.result"].Slope
	return []Row{
		limited(Row{Role: "agent", Quantity: "control traffic", Mechanism: "internal/dispatch/gatekeeper/reports.go#reportAll", Slope: "link.idle.bytes, entry.control.bytes, codec.report.bytes", Breaks: "number of entries"}, need.ControlBytes, t.AgentBytes, "B/s"),
		limited(Row{Role: "agent", Quantity: "CPU idle", Mechanism: "internal/transport/linker/link.go#probeInterval", Slope: "link.idle.cpu, agent.cpu.report, .status", Breaks: "number of entries"}, need.ControlCores, t.AgentCores, "cores"),
		limited(Row{Role: "agent", Quantity: "CPU busy, without HTTP to the endpoint", Mechanism: "internal/dispatch/gatekeeper/starts.go#start", Slope: "link.message.cpu, agent.cpu.task", Breaks: "CPU per single message on a link. Next: profile the wake-ups of the connections; fewer entries; hold results up to 1 ms to share packets"}, need.BusyCores, t.AgentCores, "cores"),
		limited(Row{Role: "agent", Quantity: fmt.Sprintf("heap of %.0f start records and results", records), Mechanism: "internal/dispatch/gatekeeper/state.go#maxResultBytes", Slope: "agent.memory.result", Breaks: "the heap before a collection is twice the live objects; links are not included. Next: a memory limit in the launcher, shared strings in records"}, memory, t.AgentMemory, "B"),
		{Role: "agent", Quantity: "UDP payload with starts and results of 256 B (data, not control)", Value: quantity(2*t.Starts/float64(t.Workers)*s.ByID["link.message.bytes"].Slope+need.ControlBytes, "B/s"), Limit: "not set", Mechanism: "internal/transport/linker/traffic.go#Traffic", Slope: "link.message.bytes", Breaks: "payload sizes", Status: Carried},
		{Role: "agent", Quantity: "calls of the endpoint", Value: quantity(t.Starts/float64(t.Workers), "/s"), Limit: "not set", Mechanism: "internal/dispatch/gatekeeper/events.go#Invoke", Slope: "none", Breaks: "unknown; the HTTP client is not in the tree yet", Status: NotMeasured},
	}
}

func (t Target) storeRows(s Slopes) []Row {
	jobs := t.JobsPerSecond(chosenTasks)
	tree := s.ByID["settings.bytes"].At(domainCount)
	daily := jobs * sustainedShare * secondsPerDay
	return []Row{
		{Role: "store", Quantity: "rows in each transaction", Value: quantity(t.RowsPerTransaction(chosenTasks, chosenEntries), "rows"), Limit: "not known", Mechanism: "internal/storage/storer/table.go#Write", Slope: "arithmetic", Breaks: "the largest transaction of the platform; the journal is not in this tree", Status: NotMeasured},
		limited(Row{Role: "store", Quantity: "mean wait for the entry's next transaction", Mechanism: "internal/dispatch/coordinator/effects.go#CommitIntent", Slope: "arithmetic", Breaks: "target: one write + 2 ms. Next: fewer writers (entries hand rows to one), or tickets"}, 1000*t.CommitWait(chosenEntries), 2, "ms"),
		{Role: "store", Quantity: "bytes of outcome rows", Value: quantity(jobs*OutcomeRowBytes(chosenTasks, payloadBytes), "B/s"), Limit: "not known", Mechanism: "internal/dispatch/coordinator/effects.go#CommitOutcome", Slope: "arithmetic", Breaks: "the platform; next: results to the object store", Status: NotMeasured},
		{Role: "store", Quantity: "intent and outcome rows a day, at 25% of the peak", Value: quantity(2*daily, "rows") + ", " + quantity(daily*OutcomeRowBytes(chosenTasks, payloadBytes), "B"), Limit: "not known", Headroom: "0", Mechanism: "internal/storage/storer/table.go#Table", Slope: "arithmetic", Breaks: "nothing removes rows: the table has no delete. Next: delete by age, after the longest resubmission", Status: NotCarried},
		{Role: "store", Quantity: "`settings/change/` rows a year", Value: quantity(365*t.ChangesPerDay, "rows") + ", " + quantity(365*t.ChangesPerDay*tree, "B"), Limit: "not known", Headroom: "0", Mechanism: "internal/settings/versioner/rows.go#encodePuts", Slope: "settings.bytes", Breaks: "nothing removes rows. Next: keep the last 90 days, older ones in the object store", Status: NotCarried},
		limited(Row{Role: "store", Quantity: "reads of settings/head and of the entry rows", Mechanism: "internal/settings/versioner/watcher.go#Interval", Slope: "arithmetic", Breaks: "number of entries, and lookups of resubmissions"}, 3*chosenEntries, t.StoreReads, "/s"),
	}
}
