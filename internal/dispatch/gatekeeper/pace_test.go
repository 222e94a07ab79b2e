package gatekeeper

import (
	"math"
	"testing"
	"time"
)

// Guards against a speed that does not settle on the observed one, or that one
// run time of a wrongly declared task moves far.
func TestPace(t *testing.T) {
	var p pace
	for range 200 {
		p.learn(400*time.Millisecond, 100*time.Millisecond)
	}
	settled := p.slowness
	if math.Abs(settled-math.Log(4)) > 0.05 || p.runs != 200 {
		t.Errorf("slowness %.3f after %d runs, want %.3f", settled, p.runs, math.Log(4))
	}
	p.learn(time.Hour, time.Millisecond)
	if p.slowness-settled > paceGain*maxSurprise+1e-9 {
		t.Errorf("one run moved the slowness from %.3f to %.3f", settled, p.slowness)
	}
	p.learn(time.Second, 0)
	if p.runs != 201 {
		t.Error("a run without an expected time was counted")
	}
}
