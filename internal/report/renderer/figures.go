// Package renderer writes the report of a run: one HTML page with plots, or its figures as
// JSON.
package renderer

import (
	"encoding/json"
	"io"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/report/collector"
)

// Figures are the figures of a report. Times are in UTC, durations in seconds.
type Figures struct {
	Begin       time.Time          `json:"begin"`
	End         time.Time          `json:"end"`
	SlotSeconds float64            `json:"slot_seconds"`
	Lines       int                `json:"lines"`
	BadLines    int                `json:"bad_lines"`
	BadSamples  []string           `json:"bad_samples,omitempty"`
	Queues      []QueueFigures     `json:"queues"`
	Refusals    collector.Counts   `json:"refusals"`
	RetryAfter  collector.Counts   `json:"retry_after"`
	Placements  collector.Counts   `json:"placements"`
	Retries     int                `json:"retries"`
	LinksOpened int                `json:"links_opened"`
	LinksClosed int                `json:"links_closed"`
	Processes   []ProcessFigures   `json:"processes"`
	Marks       []collector.Mark   `json:"marks"`
	MarksLeft   int                `json:"marks_left_out,omitempty"`
	Objectives  map[string]float64 `json:"objectives,omitempty"`
}

// QueueFigures are the figures of a queue. The latency is that of completed and failed jobs.
type QueueFigures struct {
	Queue   string                  `json:"queue"`
	Answers map[collector.Class]int `json:"answers"`
	P50     float64                 `json:"latency_p50"`
	P90     float64                 `json:"latency_p90"`
	P99     float64                 `json:"latency_p99"`
	Max     float64                 `json:"latency_max"`
	// WithinObjective is the share of the completed and failed jobs within the objective.
	WithinObjective *float64 `json:"within_objective,omitempty"`
}

// ProcessFigures are the figures of a process.
type ProcessFigures struct {
	Process         string    `json:"process"`
	Lines           int       `json:"lines"`
	Starts          int       `json:"starts"`
	First           time.Time `json:"first_line"`
	Last            time.Time `json:"last_line"`
	SettingsVersion uint64    `json:"settings_version,omitempty"`
}

// FiguresOf returns the figures of a run. objectives are the latency objectives by queue.
func FiguresOf(run *collector.Run, objectives map[string]time.Duration) Figures {
	f := Figures{
		Begin: run.Begin, End: run.End, SlotSeconds: run.Width.Seconds(), Lines: run.Lines,
		BadLines: run.Bad, BadSamples: run.BadSamples, Refusals: run.Total.Refusals, RetryAfter: run.Total.RetryAfter,
		Placements: run.Total.Placements, Retries: run.Total.Retries,
		LinksOpened: run.Total.LinksOpened, LinksClosed: run.Total.LinksClosed, Marks: run.Marks, MarksLeft: run.MarksLeft,
	}
	for _, name := range collector.SortedKeys(run.Total.Queues) {
		f.Queues = append(f.Queues, queueFigures(name, run.Total.Queues[name], objectives))
	}
	for _, name := range collector.SortedKeys(run.Processes) {
		p := run.Processes[name]
		f.Processes = append(f.Processes, ProcessFigures{
			Process: name, Lines: p.Lines, Starts: p.Starts, First: p.First, Last: p.Last, SettingsVersion: p.SettingsVersion,
		})
	}
	for name, objective := range objectives {
		if f.Objectives == nil {
			f.Objectives = make(map[string]float64)
		}
		f.Objectives[name] = objective.Seconds()
	}
	return f
}

func queueFigures(name string, q *collector.Queue, objectives map[string]time.Duration) QueueFigures {
	f := QueueFigures{Queue: name, Answers: q.Answers}
	if q.Latency.TotalCount() == 0 {
		return f
	}
	f.P50, f.P90, f.P99 = q.LatencyAt(50), q.LatencyAt(90), q.LatencyAt(99)
	f.Max = q.LatencyAt(100)
	if objective, known := objectives[name]; known {
		within := 0.0
		for _, bar := range q.Latency.Distribution() {
			if bar.To <= objective.Microseconds() {
				within += float64(bar.Count)
			}
		}
		within /= float64(q.Latency.TotalCount())
		f.WithinObjective = &within
	}
	return f
}

// WriteJSON writes the figures as indented JSON.
func WriteJSON(w io.Writer, f Figures) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(f)
}
