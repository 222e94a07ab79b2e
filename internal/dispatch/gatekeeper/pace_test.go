package gatekeeper

import (
	"math"
	"testing"
	"time"
)

// Guards against a slowness estimate that does not settle on the observed value, or that
// changes much on one wrongly declared run time.
func TestPace(t *testing.T) {
	var p pace
	for range 200 {
		p.observe(400*time.Millisecond, 100*time.Millisecond)
	}
	settled := p.slowness
	if math.Abs(settled-math.Log(4)) > 0.05 || p.runs != 200 {
		t.Errorf("slowness %.3f after %d runs, want %.3f", settled, p.runs, math.Log(4))
	}
	p.observe(time.Hour, time.Millisecond)
	if p.slowness-settled > paceGain*maxLogDeviation+1e-9 {
		t.Errorf("one run changed the slowness from %.3f to %.3f", settled, p.slowness)
	}
	p.observe(time.Second, 0)
	if p.runs != 201 {
		t.Error("a run without an expected time was counted")
	}
}
