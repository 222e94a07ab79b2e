package estimator

import "fmt"

// Failure is a row of the table of failures: the cost of one kind of failure.
type Failure struct {
	What, Rate, Messages, InDoubt, Back, Mechanism, Note string
	Status                                               Status
}

// Failures computes the table of failures for 16 entries and 10 tasks per job.
func (t Target) Failures(s Slopes) []Failure {
	domain := float64(t.Workers) / float64(t.Domains)
	return []Failure{
		t.workersLost("host", "18 a day", 1, Carried, "none of the tasks is repeated on a guess"),
		{What: "planned restart of an agent", Rate: "290 a day", Messages: fmt.Sprintf("%d hellos, welcomes, reports and statuses", 4*chosenEntries), InDoubt: "0", Back: "1 s ramp-up", Mechanism: "internal/dispatch/gatekeeper/life_cycle.go#drain", Note: fmt.Sprintf("links: %.1f ms CPU of both ends each", s.ByID["link.setup.cpu"].Slope/1000), Status: Carried},
		t.workersLost("rack or switch", "one in 1 to 2 months", float64(t.WorkersPerRack), Carried, "three workers to a rack, as today"),
		t.workersLost("failure domain", "1 to 2 a year", domain, NotCarried, "the extension of gone_after under mass silence (section 9) is not in the code. Next: measure, then build or drop it"),
		{What: "entry", Rate: "with its host", Messages: fmt.Sprintf("%d fences, %.0f records", t.Workers, t.fenceRecords(chosenEntries)), InDoubt: fmt.Sprintf("%.0f jobs, of which most are collected", t.JobsTouched(float64(t.Workers), chosenTasks)/chosenEntries), Back: "3 s lease + up to 5 s", Mechanism: "internal/dispatch/coordinator/takeover.go#collect", Note: "see the rows of the takeover; agents return only records of the submissions that somebody waits for", Status: Carried},
		{What: "regions cut, side without the store", Rate: "several a year, minutes", Messages: "probes only", InDoubt: "0 new", Back: "with the link, ≤ 1 s", Mechanism: "internal/dispatch/gatekeeper/reports.go#blocked", Note: "no start later than 3 s (settings lease 2.5 s); no settings accepted; submissions get 503 outcome_unknown after 2 s; running tasks finish", Status: Carried},
		{What: "regions cut, side with the store", Rate: "several a year, minutes", Messages: "probes only", InDoubt: fmt.Sprintf("up to %.0f tasks, sent across the cut", t.TasksInDoubt(float64(t.Workers)/regions)/regions), Back: "10 s until given up", Mechanism: "internal/dispatch/coordinator/members.go#watchAgents", Note: "settings are accepted and starts go on; results that come after 10 s are too late, and their jobs fail with may_have_run. Next: place in the entry's own region first", Status: NotCarried},
	}
}

func (t Target) workersLost(what, rate string, workers float64, status Status, note string) Failure {
	return Failure{
		What: what, Rate: rate,
		Messages:  "0 until the agents are back",
		InDoubt:   fmt.Sprintf("%.0f tasks; %.0f, %.0f, %.0f jobs of 10, 50, 210 tasks", t.TasksInDoubt(workers), t.JobsTouched(workers, 10), t.JobsTouched(workers, 50), t.JobsTouched(workers, 210)),
		Back:      "no new work after 1.5 s, tasks given up after 10 s",
		Mechanism: "internal/dispatch/coordinator/members.go#agentGone",
		Note:      note, Status: status,
	}
}
