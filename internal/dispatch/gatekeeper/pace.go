package gatekeeper

import (
	"math"
	"time"
)

const (
	// paceGain weighs a new run time against the past ones. Run times of one
	// service differ 20:1, so a larger gain mostly follows noise.
	paceGain = 0.02
	// maxSurprise bounds the influence of one run time: declared times are wrong
	// by up to 5 times.
	maxSurprise = 1.61 // ln 5
)

// pace is the observed slowness of the endpoint. The agent sees the tasks of all
// entries, so it learns faster than each of them, and a restarted entry need not
// learn again.
type pace struct {
	slowness float64
	runs     int
}

func (p *pace) learn(run, expected time.Duration) {
	if run <= 0 || expected <= 0 {
		return
	}
	surprise := math.Log(float64(run)/float64(expected)) - p.slowness
	p.runs++
	gain := max(1/float64(p.runs+1), paceGain)
	p.slowness += gain * min(max(surprise, -maxSurprise), maxSurprise)
}
