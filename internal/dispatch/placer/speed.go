package placer

import (
	"math"
	"time"
)

const (
	// speedGain is the weight of a new run time in the moving average of an endpoint's
	// slowness. Run times of one service differ by a factor of 20, so a larger weight
	// would mostly follow noise.
	speedGain = 0.02
	// runTimeGain is the weight of a new run time in the moving averages of a service.
	runTimeGain = 0.005
	// maxLogDeviation is the largest deviation, as a logarithm, that one run time
	// contributes to the slowness. Declared times are wrong by a factor of up to 5.
	maxLogDeviation = 1.61 // ln 5
	// initialRunTime is the expected run time until the first task has finished.
	initialRunTime = 200 * time.Millisecond
	// priorSamples is the weight, in samples, of the service's overall mean in the
	// expected run time of a range of declared times.
	priorSamples = 20

	// Declared times are grouped into ranges. The first starts at 2 ms, and each next
	// one at twice the time. Times outside belong to the first or the last range.
	firstRangeStart = 2 * time.Millisecond
	rangeCount      = 16
)

// speed is the observed slowness of an endpoint: a moving average of
// ln(run time / expected run time).
type speed struct {
	slowness float64
	samples  int
	// reported is true once the agent has reported the slowness. The agent observes the
	// tasks of all entries, so its value replaces this entry's own observations.
	reported bool
}

// estimate holds moving averages of run times in seconds, divided by the factor of the
// endpoint. The mean of the logarithms is the reference for the slowness of endpoints.
// The plain mean, in which rare long tasks have their full weight, is the expected run
// time.
type estimate struct {
	samples, meanLog, mean float64
}

// runTimes holds the run times of a service, overall and per range of declared times. The
// relation of declared to actual run times is thus learnt and not assumed.
type runTimes struct {
	overall  estimate
	declared [rangeCount]estimate
}

func rangeOf(declared time.Duration) int {
	at := math.Ilogb(float64(declared) / float64(firstRangeStart))
	return min(max(at, 0), rangeCount-1)
}

// expected returns the estimate of a task's run time on an endpoint of mean speed.
func (w *runTimes) expected(declared time.Duration) estimate {
	if w.overall.samples == 0 {
		first := initialRunTime.Seconds()
		if declared > 0 {
			first = declared.Seconds()
		}
		return estimate{meanLog: math.Log(first), mean: first}
	}
	if declared <= 0 {
		return w.overall
	}
	e := w.declared[rangeOf(declared)]
	weight := e.samples / (e.samples + priorSamples)
	e.meanLog = w.overall.meanLog + weight*(e.meanLog-w.overall.meanLog)
	e.mean = w.overall.mean + weight*(e.mean-w.overall.mean)
	return e
}

// setReportedSlowness sets the slowness that the agent reported.
func (m *member) setReportedSlowness(slowness float64) {
	m.reported = true
	m.slowness = slowness
	m.factor = math.Exp(slowness)
}

// Expected returns the geometric mean of the run times of similar tasks on an endpoint
// of mean speed, and 0 for an unknown service.
func (x *Index) Expected(firm, service string, declared time.Duration) time.Duration {
	p := x.pools[poolKey{firm, service}]
	if p == nil {
		return 0
	}
	return time.Duration(math.Exp(p.expected(declared).meanLog) * float64(time.Second))
}

// RunTimeFactor returns the run time at an endpoint relative to an endpoint of mean
// speed, and 1 for an unknown endpoint.
func (x *Index) RunTimeFactor(name string) float64 {
	if m, known := x.members[name]; known {
		return m.factor
	}
	return 1
}

func (p *pool) learn(m *member, run, declared time.Duration) {
	if run <= 0 {
		return
	}
	log := math.Log(run.Seconds())
	deviation := log - p.expected(declared).meanLog - m.slowness
	p.observe(log-m.slowness, run.Seconds()/m.factor, declared)
	if m.reported {
		return
	}
	m.samples++
	gain := max(1/float64(m.samples+1), speedGain)
	m.slowness += gain * min(max(deviation, -maxLogDeviation), maxLogDeviation)
	m.factor = math.Exp(m.slowness)
}

func (w *runTimes) observe(log, plain float64, declared time.Duration) {
	w.overall.add(log, plain)
	if declared > 0 {
		w.declared[rangeOf(declared)].add(log, plain)
	}
}

func (e *estimate) add(log, plain float64) {
	e.samples++
	gain := max(1/e.samples, runTimeGain)
	e.meanLog += gain * (log - e.meanLog)
	e.mean += gain * (plain - e.mean)
}
