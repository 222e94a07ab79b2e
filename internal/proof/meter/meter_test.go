package meter

import (
	"testing"
	"time"
)

// Guards against a run that depends on map order or the clock. Two versions of the
// code are compared on the same seed, which needs repeatable runs.
func TestRunIsDeterministic(t *testing.T) {
	measure := func() (*Result, error) {
		o := Defaults(1, lamisDelay)
		o.Span = 20 * time.Second
		r := NewResult()
		return r, r.AddRun(o)
	}
	first, err := measure()
	if err != nil {
		t.Fatal(err)
	}
	second, err := measure()
	if err != nil {
		t.Fatal(err)
	}
	if first.Messages != second.Messages || first.Reports != second.Reports ||
		first.All.Percentile(99) != second.All.Percentile(99) {
		t.Errorf("seed 1 gave %+v and then %+v", first.Messages, second.Messages)
	}
	if first.Incomplete != 0 || first.All.Count() == 0 {
		t.Errorf("%d jobs complete, %d not", first.All.Count(), first.Incomplete)
	}
}

// Guards against a load that differs from the one in the options, with and without
// bursts.
func TestOfferedLoad(t *testing.T) {
	for _, bursts := range []bool{false, true} {
		o := Defaults(1, lamisDelay)
		o.Bursts = bursts
		o.Span = 20 * time.Minute
		work := 0.0
		for _, job := range planLoad(o) {
			for _, task := range job.tasks {
				work += task.runTime.Seconds()
			}
		}
		got := work / o.capacity() / o.Span.Seconds()
		if got < 0.65 || got > 0.75 {
			t.Errorf("bursts=%t: load %.3f, want about %.2f", bursts, got, o.Load)
		}
	}
}
