// Package comparer compares the figures of two runs and says which differences exceed the
// scatter.
package comparer

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/burdockrudder/burdockrudder/internal/report/collector"
)

// scatterFactor is the number of standard errors beyond which a difference counts.
const scatterFactor = 3

// Row compares one figure.
type Row struct {
	Queue   string  `json:"queue"`
	Figure  string  `json:"figure"`
	First   float64 `json:"first"`
	Second  float64 `json:"second"`
	Differs bool    `json:"differs"`
}

// Compare returns the shares of the classes and the quantiles of the latency in seconds, for
// each queue of either run.
func Compare(first, second *collector.Run) []Row {
	names := map[string]bool{}
	for _, run := range []*collector.Run{first, second} {
		for name := range run.Total.Queues {
			names[name] = true
		}
	}
	var rows []Row
	for _, name := range collector.SortedKeys(names) {
		rows = append(rows, compareShares(name, first, second)...)
		rows = append(rows, compareLatency(name, first, second)...)
	}
	return rows
}

func compareShares(name string, first, second *collector.Run) []Row {
	var rows []Row
	a, b := answers(first, name), answers(second, name)
	totalA, totalB := total(a), total(b)
	if totalA == 0 && totalB == 0 {
		return nil
	}
	for _, class := range collector.Classes() {
		if a[class]+b[class] == 0 {
			continue
		}
		x, y := share(a[class], totalA), share(b[class], totalB)
		pooled := share(a[class]+b[class], totalA+totalB)
		deviation := math.Sqrt(pooled * (1 - pooled) * (inverse(totalA) + inverse(totalB)))
		rows = append(rows, Row{
			Queue: name, Figure: "share " + string(class), First: x, Second: y, Differs: math.Abs(x-y) > scatterFactor*deviation,
		})
	}
	return rows
}

func answers(run *collector.Run, name string) map[collector.Class]int {
	if q := run.Total.Queues[name]; q != nil {
		return q.Answers
	}
	return nil
}

func total(answers map[collector.Class]int) int {
	sum := 0
	for _, n := range answers {
		sum += n
	}
	return sum
}

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

func inverse(n int) float64 {
	if n == 0 {
		return 0
	}
	return 1 / float64(n)
}

// compareLatency compares quantiles. Their scatter is that of the slots of both runs.
func compareLatency(name string, first, second *collector.Run) []Row {
	var rows []Row
	for _, percent := range []float64{50, 99} {
		x, scatterX, haveX := quantile(first, name, percent)
		y, scatterY, haveY := quantile(second, name, percent)
		if !haveX || !haveY {
			continue
		}
		rows = append(rows, Row{
			Queue: name, Figure: fmt.Sprintf("latency p%g, s", percent), First: x, Second: y,
			Differs: math.Abs(x-y) > scatterFactor*math.Hypot(scatterX, scatterY),
		})
	}
	return rows
}

// quantile returns a quantile of the latency of a whole run and the standard error of the
// mean of that quantile over its slots.
func quantile(run *collector.Run, name string, percent float64) (value, scatter float64, found bool) {
	q := run.Total.Queues[name]
	if q == nil || q.Latency.TotalCount() == 0 {
		return 0, 0, false
	}
	var values []float64
	for _, slot := range run.Slots {
		if part := slot.Queues[name]; part != nil && part.Latency.TotalCount() > 0 {
			values = append(values, part.LatencyAt(percent))
		}
	}
	return q.LatencyAt(percent), standardError(values), true
}

func standardError(values []float64) float64 {
	n := float64(len(values))
	if n < 2 {
		return math.Inf(1)
	}
	mean := 0.0
	for _, v := range values {
		mean += v / n
	}
	variance := 0.0
	for _, v := range values {
		variance += (v - mean) * (v - mean) / (n - 1)
	}
	return math.Sqrt(variance / n)
}

// Write prints the comparison as a table.
func Write(w io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// The writer keeps the first error until Flush.
	_, _ = fmt.Fprintln(table, "queue\tfigure\tfirst\tsecond\tbeyond the scatter")
	for _, row := range rows {
		differs := ""
		if row.Differs {
			differs = "yes"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.4f\t%.4f\t%s\n", row.Queue, row.Figure, row.First, row.Second, differs)
	}
	return table.Flush()
}
