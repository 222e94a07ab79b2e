package placer

import (
	"math"
	"time"
)

const (
	// speedGain weighs a new run time against the past ones of the endpoint.
	// Run times of one service differ 20:1, so a larger gain mostly follows noise.
	speedGain = 0.02
	// workGain is the same for the expectations of the service.
	workGain = 0.005
	// maxSurprise bounds the influence of one run time: declared times are wrong
	// by up to 5 times.
	maxSurprise = 1.61 // ln 5
	// firstWork is assumed before the first task has finished.
	firstWork = 200 * time.Millisecond
	// priorSamples is the weight of the service's mean in the expectation for a
	// range of declared times.
	priorSamples = 20

	// Declared times are grouped into ranges of a factor of two, from 2 ms up.
	firstRange = 2 * time.Millisecond
	ranges     = 16
)

// speed is the observed slowness of an endpoint: the logarithm of its run times
// relative to the expected ones.
type speed struct {
	slowness float64
	samples  int
	// told is true once the agent has told the slowness. It has seen the tasks of
	// all entries, so this entry's own observations no longer count.
	told bool
}

// estimate is a moving average of run times in seconds, after division by the
// slowness of the endpoint. The mean of the logarithms is the reference for
// speeds; the plain mean, in which rare long tasks count fully, is the expectation.
type estimate struct {
	samples, log, plain float64
}

// work describes the run times of a service, overall and per range of declared
// times. What a declared time is worth is thus learnt, and not assumed.
type work struct {
	overall  estimate
	declared [ranges]estimate
}

func rangeOf(declared time.Duration) int {
	at := math.Ilogb(float64(declared) / float64(firstRange))
	return min(max(at, 0), ranges-1)
}

// expected returns what a task is expected to run on an endpoint of mean speed.
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

// take takes over the slowness that the agent tells.
func (m *member) take(slowness float64) {
	m.told = true
	m.slowness = slowness
	m.factor = math.Exp(slowness)
}

// Expected returns the typical run time of a task on an endpoint of mean speed,
// and 0 for an unknown service.
func (x *Index) Expected(firm, service string, declared time.Duration) time.Duration {
	p := x.pools[poolKey{firm, service}]
	if p == nil {
		return 0
	}
	return time.Duration(math.Exp(p.expected(declared).log) * float64(time.Second))
}

// RunTimeFactor returns the run time at an endpoint relative to one of mean speed, and 1
// for an unknown endpoint.
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
