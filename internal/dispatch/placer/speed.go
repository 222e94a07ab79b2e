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
	// workGain is the weight of a new run time in the moving averages of a service.
	workGain = 0.005
	// maxSurprise is the largest deviation, as a logarithm, that one run time
	// contributes to the slowness. Declared times are wrong by a factor of up to 5.
	maxSurprise = 1.61 // ln 5
	// firstWork is the expected run time until the first task has finished.
	firstWork = 200 * time.Millisecond
	// priorSamples is the weight, in samples, of the service's overall mean in the
	// expected run time of a range of declared times.
	priorSamples = 20

	// Declared times are grouped into ranges. The first starts at 2 ms, and each next
	// one at twice the time. Times outside belong to the first or the last range.
	firstRange = 2 * time.Millisecond
	ranges     = 16
)

// speed is the observed slowness of an endpoint: a moving average of
// ln(run time / expected run time).
type speed struct {
	slowness float64
	samples  int
	// told is true once the agent has reported the slowness. The agent observes the
	// tasks of all entries, so its value replaces this entry's own observations.
	told bool
}

// estimate holds moving averages of run times in seconds, divided by the factor of the
// endpoint. The mean of the logarithms is the reference for the slowness of endpoints.
// The plain mean, in which rare long tasks have their full weight, is the expected run
// time.
type estimate struct {
	samples, log, plain float64
}

// work holds the run times of a service, overall and per range of declared times. The
// relation of declared to actual run times is thus learnt and not assumed.
type work struct {
	overall  estimate
	declared [ranges]estimate
}

func rangeOf(declared time.Duration) int {
	at := math.Ilogb(float64(declared) / float64(firstRange))
	return min(max(at, 0), ranges-1)
}

// expected returns the estimate of a task's run time on an endpoint of mean speed.
func (w *work) expected(declared time.Duration) estimate {
	if w.overall.samples == 0 {
		first := firstWork.Seconds()
		if declared > 0 {
			first = declared.Seconds()
		}
		return estimate{log: math.Log(first), plain: first}
	}
	if declared <= 0 {
		return w.overall
	}
	e := w.declared[rangeOf(declared)]
	trust := e.samples / (e.samples + priorSamples)
	e.log = w.overall.log + trust*(e.log-w.overall.log)
	e.plain = w.overall.plain + trust*(e.plain-w.overall.plain)
	return e
}

// take sets the slowness that the agent reported.
func (m *member) take(slowness float64) {
	m.told = true
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
	return time.Duration(math.Exp(p.expected(declared).log) * float64(time.Second))
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
	surprise := log - p.expected(declared).log - m.slowness
	p.observe(log-m.slowness, run.Seconds()/m.factor, declared)
	if m.told {
		return
	}
	m.samples++
	gain := max(1/float64(m.samples+1), speedGain)
	m.slowness += gain * min(max(surprise, -maxSurprise), maxSurprise)
	m.factor = math.Exp(m.slowness)
}

func (w *work) observe(log, plain float64, declared time.Duration) {
	w.overall.add(log, plain)
	if declared > 0 {
		w.declared[rangeOf(declared)].add(log, plain)
	}
}

func (e *estimate) add(log, plain float64) {
	e.samples++
	gain := max(1/e.samples, workGain)
	e.log += gain * (log - e.log)
	e.plain += gain * (plain - e.plain)
}
