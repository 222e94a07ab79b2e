package placer

import (
	"math"
	"time"
)

const (
	// speedGain weighs a new run time against the past ones of the endpoint.
	// Run times of one service differ 20:1, so a larger gain mostly follows noise.
	speedGain = 0.04
	// workGain is the same for the mean over all endpoints of the service.
	workGain = 0.005
	// maxSurprise bounds the influence of one run time: declared times are wrong
	// by up to 5 times.
	maxSurprise = 1.61 // ln 5
	// declaredMinimum is the number of samples before declared times are trusted.
	declaredMinimum = 30
	// firstWork is assumed before the first task has finished.
	firstWork = 200 * time.Millisecond
)

// speed is the observed slowness of an endpoint: the logarithm of its run times
// relative to the expected ones.
type speed struct {
	slowness float64
	samples  int
}

// work describes the logarithm of the run times of a service, after division by
// the slowness of the endpoints, and how far declared times predict them.
type work struct {
	mean, samples float64
	// Moments of the tasks that declared a time.
	declaredMean, declaredVariance float64
	covariance, declaredSamples    float64
}

// expected returns the logarithm of the seconds that a task is expected to run
// on an endpoint of mean speed. A declared time counts as far as declared times
// have predicted run times so far.
func (w *work) expected(declared time.Duration) float64 {
	if w.samples == 0 {
		if declared > 0 {
			return math.Log(declared.Seconds())
		}
		return math.Log(firstWork.Seconds())
	}
	if declared <= 0 || w.declaredSamples < declaredMinimum || w.declaredVariance <= 0 {
		return w.mean
	}
	trust := min(max(w.covariance/w.declaredVariance, 0), 1)
	return w.mean + trust*(math.Log(declared.Seconds())-w.declaredMean)
}

func (p *pool) learn(m *member, run, declared time.Duration) {
	if run <= 0 {
		return
	}
	seconds := math.Log(run.Seconds())
	surprise := seconds - p.expected(declared) - m.slowness
	p.observe(seconds-m.slowness, declared)
	m.samples++
	gain := max(1/float64(m.samples+1), speedGain)
	m.slowness += gain * min(max(surprise, -maxSurprise), maxSurprise)
	m.factor = math.Exp(m.slowness)
}

func (w *work) observe(size float64, declared time.Duration) {
	w.samples++
	w.mean += max(1/w.samples, workGain) * (size - w.mean)
	if declared <= 0 {
		return
	}
	w.declaredSamples++
	gain := max(1/w.declaredSamples, workGain)
	offset := math.Log(declared.Seconds()) - w.declaredMean
	w.declaredMean += gain * offset
	w.declaredVariance += gain * (offset*offset - w.declaredVariance)
	w.covariance += gain * (offset*(size-w.mean) - w.covariance)
}
