package runner

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// Report is the result of a run. All counts of starts are those that the endpoints
// observed.
type Report struct {
	Deployment string  `json:"deployment"`
	Fault      string  `json:"fault"`
	IDs        string  `json:"ids"`
	Seed       uint64  `json:"seed"`
	Load       float64 `json:"load"`

	Jobs     int `json:"jobs"`
	Complete int `json:"complete"`
	Failed   int `json:"failed"`
	// Refused counts submissions that ended without an outcome.
	Refused int `json:"refused"`
	// Unanswered counts submissions that received no answer at all.
	Unanswered         int    `json:"unanswered"`
	TaskStarts         uint64 `json:"task_starts"`
	DoubleStarts       uint64 `json:"double_starts"`
	StartsAfterTakeOut int    `json:"starts_after_takeout"`
	// WrongAnswers counts complete outcomes that lack a result or contain a result
	// of another job, and resubmissions that received a different outcome.
	WrongAnswers int `json:"wrong_answers"`
	// UntrueNotRun counts tasks that were reported as not run although they ran.
	UntrueNotRun int `json:"untrue_not_run"`
	// SlotViolations counts calls above the slots or connections of an endpoint.
	SlotViolations uint64 `json:"slot_violations"`

	// AddedP50MS is the median of response minus ideal.
	AddedP50MS               float64 `json:"added_p50_ms"`
	ResponseOverIdealP50     float64 `json:"response_over_ideal_p50"`
	ResponseOverIdealP90     float64 `json:"response_over_ideal_p90"`
	ResponseOverIdealP99     float64 `json:"response_over_ideal_p99"`
	HighResponseOverIdealP50 float64 `json:"high_response_over_ideal_p50"`
	HighResponseOverIdealP99 float64 `json:"high_response_over_ideal_p99"`
	// StoreTransactions counts all writes to the table, including those of leases.
	StoreTransactions uint64 `json:"store_transactions"`
	// WastedMessagesPerStart includes the messages to the store.
	WastedMessagesPerStart        float64 `json:"wasted_messages_per_start"`
	WastedMessagesPerStartNoStore float64 `json:"wasted_messages_per_start_without_store"`
	// TakeOutWorkRatio is 0 if no failure domain was taken out.
	TakeOutWorkRatio float64 `json:"takeout_work_ratio"`
	// ControlBytesPerSecond is the mean over the agents, in both directions.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	ElapsedSeconds        float64 `json:"elapsed_seconds"`
}

// Violations returns the violated invariants, each with its count.
func (r *Report) Violations() []string {
	var violations []string
	add := func(count int, invariant string) {
		if count > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", count, invariant))
		}
	}
	add(int(r.DoubleStarts), "double starts")
	add(r.StartsAfterTakeOut, "starts after the take-out")
	add(r.WrongAnswers, "wrong answers")
	add(r.UntrueNotRun, "tasks that ran and were told not to have run")
	add(int(r.SlotViolations), "calls above an endpoint's slots or connections")
	add(r.Unanswered, "submissions without an answer")
	return violations
}

// Print writes the report as a table.
func (r *Report) Print(to io.Writer) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"deployment", r.Deployment},
		{"fault", r.Fault},
		{"ids", r.IDs},
		{"seed", r.Seed},
		{"jobs", r.Jobs},
		{"complete", r.Complete},
		{"failed", r.Failed},
		{"refused", r.Refused},
		{"unanswered", r.Unanswered},
		{"task starts", r.TaskStarts},
		{"double starts", r.DoubleStarts},
		{"starts after take-out", r.StartsAfterTakeOut},
		{"wrong answers", r.WrongAnswers},
		{"untrue not_run", r.UntrueNotRun},
		{"response minus ideal p50", fmt.Sprintf("%.1f ms", r.AddedP50MS)},
		{"response over ideal p50", ratio(r.ResponseOverIdealP50)},
		{"response over ideal p90", ratio(r.ResponseOverIdealP90)},
		{"response over ideal p99", ratio(r.ResponseOverIdealP99)},
		{"  high priority p50", ratio(r.HighResponseOverIdealP50)},
		{"  high priority p99", ratio(r.HighResponseOverIdealP99)},
		{"store transactions", r.StoreTransactions},
		{"wasted messages per start", ratio(r.WastedMessagesPerStart)},
		{"  without the store", ratio(r.WastedMessagesPerStartNoStore)},
		{"work ratio through take-out", ratio(r.TakeOutWorkRatio)},
		{"control bytes/s per agent", ratio(r.ControlBytesPerSecond)},
		{"elapsed", fmt.Sprintf("%.1f s", r.ElapsedSeconds)},
	}
	for _, row := range rows {
		if _, err := fmt.Fprintf(table, "%s\t%v\n", row.name, row.value); err != nil {
			return fmt.Errorf("print report: %w", err)
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	return nil
}

func ratio(value float64) string {
	return fmt.Sprintf("%.3f", value)
}

// Write writes the report as one JSON object.
func (r *Report) Write(path string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	const mode = 0o644
	if err := os.WriteFile(path, append(text, '\n'), mode); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
