package comparer

import (
	"strings"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/report/collector"
)

// runOf returns a run of a minute with ten answers a second, of which a share is refused.
func runOf(refusedOfTen int, latency time.Duration) *collector.Run {
	run := &collector.Run{}
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range 600 {
		line := collector.Line{
			Time: begin.Add(time.Duration(i) * 100 * time.Millisecond), Process: "entry-1", Message: "answered", Queue: "q",
			Status: 200, Outcome: "completed: ", After: latency + time.Duration(i%7)*time.Millisecond,
		}
		if i%10 < refusedOfTen {
			line.Status, line.Outcome = 503, "overloaded: "
		}
		run.Add(&line)
	}
	return run
}

// Guards against a difference within the scatter that is shown as one, and against a real one
// that is not.
func TestDifferencesBeyondTheScatter(t *testing.T) {
	for _, scenario := range []struct {
		name          string
		first, second *collector.Run
		want          string
	}{
		{"the same", runOf(1, 50*time.Millisecond), runOf(1, 50*time.Millisecond), ""},
		{"more refusals", runOf(1, 50*time.Millisecond), runOf(3, 50*time.Millisecond), "share completed,share refused"},
		{"slower", runOf(1, 50*time.Millisecond), runOf(1, 80*time.Millisecond), "latency p50, s,latency p99, s"},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			var differing []string
			rows := Compare(scenario.first, scenario.second)
			for _, row := range rows {
				if row.Differs {
					differing = append(differing, row.Figure)
				}
			}
			if got := strings.Join(differing, ","); got != scenario.want || len(rows) != 4 {
				t.Errorf("%d rows, differing %q, want %q", len(rows), got, scenario.want)
			}
			var table strings.Builder
			if err := Write(&table, rows); err != nil || strings.Count(table.String(), "\n") != len(rows)+1 {
				t.Error(err, table.String())
			}
		})
	}
}
