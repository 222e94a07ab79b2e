package estimator

import (
	"context"
	"embed"
	"fmt"
	"io"
	"strings"
	"text/template"
)

//go:embed page.md.tmpl
var pageFile embed.FS

// Run describes the run of the measurements: its command, machine and date.
type Run struct {
	Command, Machine, Date string
}

// Measure takes all measurements. It needs about two minutes, a few hundred links
// on loopback and less than 1 GB.
func Measure(ctx context.Context) (Slopes, error) {
	var s Slopes
	for _, step := range []func() error{
		s.controlBytes, s.entryMemory, s.entryCPU, s.entryRareCPU, s.agentMemory, s.agentCPU,
		s.codec, s.settings, func() error { return s.links(ctx) },
	} {
		if err := ctx.Err(); err != nil {
			return Slopes{}, err
		}
		if err := step(); err != nil {
			return Slopes{}, err
		}
	}
	return s, nil
}

// WritePage writes the capacity page.
func WritePage(w io.Writer, run Run, t Target, s Slopes) error {
	page, err := template.ParseFS(pageFile, "page.md.tmpl")
	if err != nil {
		return fmt.Errorf("parse the page: %w", err)
	}
	data := map[string]any{
		"Run": run, "Target": t,
		"MeanRunTime": fmt.Sprintf("%.0f ms", 1000*t.MeanRunTime()),
		"FullRunTime": fmt.Sprintf("%.0f ms", 1000*t.MeanRunTime()/t.Load),
		"Entries":     entryTable(t, s), "Jobs": jobTable(t),
		"Roles": roleTable(t.Rows(s)), "Failures": failureTable(t.Failures(s)), "Slopes": slopeTable(s),
	}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("write the page: %w", err)
	}
	return nil
}

func table(header ...string) *strings.Builder {
	var b strings.Builder
	line(&b, header...)
	b.WriteString(strings.Repeat("|---", len(header)) + "|\n")
	return &b
}

func line(b *strings.Builder, cells ...string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func entryTable(t Target, s Slopes) string {
	b := table("entries", "links per entry", "starts/s per entry", "control goroutine, cores", "links with codec, cores",
		"settled jobs, live heap", "control traffic of an agent (25 KB/s)", "agent CPU idle (1.6%)", "agent CPU busy (1.6%)", "commit wait, mean")
	for _, n := range []int{4, 8, 16, 32} {
		e := t.EntryNeeds(s, n, chosenTasks)
		line(b, fmt.Sprint(n), fmt.Sprint(t.Workers+n-1), fmt.Sprintf("%.0f", t.Starts/float64(n)),
			fmt.Sprintf("%.2f", e.DecisionCores), fmt.Sprintf("%.2f", e.LinkCores), quantity(e.CacheBytes, "B"),
			quantity(e.ControlBytes, "B/s"), percent(e.ControlCores), percent(e.BusyCores), fmt.Sprintf("%.1f ms", 1000*t.CommitWait(n)))
	}
	return b.String()
}

func percent(cores float64) string { return fmt.Sprintf("%.2f%%", 100*cores) }

func jobTable(t Target) string {
	b := table("tasks per job", "jobs/s", "intent and outcome rows/s", "rows per transaction, 16 entries", "outcome row", "outcome bytes/s", "bytes per transaction")
	for _, tasks := range []float64{10, 50, 210} {
		row := OutcomeRowBytes(tasks, payloadBytes)
		jobs := t.JobsPerSecond(tasks)
		line(b, fmt.Sprint(tasks), fmt.Sprintf("%.0f", jobs), fmt.Sprintf("%.0f", 2*jobs), fmt.Sprintf("%.1f", t.RowsPerTransaction(tasks, chosenEntries)),
			quantity(row, "B"), quantity(jobs*row, "B/s"), quantity(t.RowsPerTransaction(tasks, chosenEntries)/2*row, "B"))
	}
	return b.String()
}

func roleTable(rows []Row) string {
	b := table("role", "quantity", "value", "limit", "headroom", "status", "mechanism", "slope", "what breaks first")
	for _, r := range rows {
		line(b, r.Role, r.Quantity, r.Value, r.Limit, r.Headroom, string(r.Status), "`"+r.Mechanism+"`", r.Slope, r.Breaks)
	}
	return b.String()
}

func failureTable(rows []Failure) string {
	b := table("failure", "rate", "messages", "in doubt", "time to be back", "status", "mechanism", "note")
	for _, r := range rows {
		line(b, r.What, r.Rate, r.Messages, r.InDoubt, r.Back, string(r.Status), "`"+r.Mechanism+"`", r.Note)
	}
	return b.String()
}

func slopeTable(s Slopes) string {
	b := table("slope", "what", "points (size: value)", "slope", "intercept", "worst residual")
	for _, id := range s.Order {
		x := s.ByID[id]
		points := make([]string, len(x.Points))
		for i, p := range x.Points {
			points[i] = fmt.Sprintf("%.0f: %.3g", p.Size, p.Value)
		}
		line(b, id, x.What, strings.Join(points, ", "), fmt.Sprintf("%.3g %s per %s", x.Slope, x.Unit, x.Per),
			fmt.Sprintf("%.3g", x.Intercept), fmt.Sprintf("%.3g", x.MaxResidual))
	}
	return b.String()
}
