package meter

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

// Point holds percentiles of response over ideal at one load.
type Point struct {
	Load float64 `json:"load"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
}

// The loads of a curve.
const (
	minLoad     = 0.30
	loadStep    = 0.05
	curvePoints = 14
)

// maxParallelRuns is how many loads of a curve are measured concurrently.
const maxParallelRuns = 4

// Curve measures response over ideal for loads from 0.30 to 0.95, each with
// the seeds from 1 to the given one.
func Curve(seeds int, span, clientDelay time.Duration) ([]Point, error) {
	points := make([]Point, curvePoints)
	var group errgroup.Group
	group.SetLimit(maxParallelRuns)
	for i := range points {
		group.Go(func() error {
			result := NewResult()
			load := minLoad + loadStep*float64(i)
			for seed := range seeds {
				o := Defaults(uint64(seed+1), clientDelay)
				o.Load = load
				o.Span = span
				if err := result.AddRun(o); err != nil {
					return fmt.Errorf("measure load %.2f: %w", load, err)
				}
			}
			points[i] = Point{Load: load, P50: result.All.Percentile(50), P99: result.All.Percentile(99)}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return points, nil
}

// ReadPoints reads a curve that WritePoints has written.
func ReadPoints(path string) ([]Point, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read curve: %w", err)
	}
	var points []Point
	if err := json.Unmarshal(text, &points); err != nil {
		return nil, fmt.Errorf("decode curve %s: %w", path, err)
	}
	return points, nil
}

// WritePoints writes a curve as JSON.
func WritePoints(path string, points []Point) error {
	text, err := json.MarshalIndent(points, "", "  ")
	if err != nil {
		return fmt.Errorf("encode curve: %w", err)
	}
	const mode = 0o644
	if err := os.WriteFile(path, append(text, '\n'), mode); err != nil {
		return fmt.Errorf("write curve: %w", err)
	}
	return nil
}
