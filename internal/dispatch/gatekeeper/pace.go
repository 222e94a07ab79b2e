package gatekeeper

import (
	"math"
	"time"
)

const (
	// paceGain is the weight of a new run time against the past ones. Run times of one
	// service vary by a factor of 20, so a larger gain mostly follows noise.
	paceGain = 0.02
	// maxLogDeviation limits the influence of one run time, as a logarithm, because
	// declared run times are wrong by a factor of up to 5.
	maxLogDeviation = 1.61 // ln 5
)

// pace estimates the slowness of the endpoint: a moving average of the logarithm of
// actual over expected run time. The agent sees the tasks of all entries, so its
// estimate settles sooner than that of a single entry, and a restarted entry need not
// start over.
type pace struct {
	slowness float64
	runs     int
}

func (p *pace) observe(run, expected time.Duration) {
	if run <= 0 || expected <= 0 {
		return
	}
	logDeviation := math.Log(float64(run)/float64(expected)) - p.slowness
	p.runs++
	gain := max(1/float64(p.runs+1), paceGain)
	p.slowness += gain * min(max(logDeviation, -maxLogDeviation), maxLogDeviation)
}
