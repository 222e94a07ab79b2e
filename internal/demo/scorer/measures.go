package scorer

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ratioScale keeps three decimals of a ratio in an integer histogram.
const ratioScale = 1000

// maxRatio is the largest ratio that the histogram can hold.
const maxRatio = 100_000

// Ratios is a histogram of response times divided by the ideal response times.
type Ratios struct {
	histogram *hdrhistogram.Histogram
}

// NewRatios returns an empty histogram.
func NewRatios() *Ratios {
	return &Ratios{histogram: hdrhistogram.New(1, maxRatio*ratioScale, 4)}
}

// Add records one response.
func (r *Ratios) Add(response, ideal time.Duration) error {
	if ideal <= 0 {
		return fmt.Errorf("record response ratio: ideal response time is %s, want more than 0", ideal)
	}
	ratio := float64(response) / float64(ideal) * ratioScale
	if err := r.histogram.RecordValue(int64(max(ratio, 1))); err != nil {
		return fmt.Errorf("record response ratio: %w", err)
	}
	return nil
}

// Count returns the number of responses recorded.
func (r *Ratios) Count() int64 {
	return r.histogram.TotalCount()
}

// Percentile returns a percentile of the ratios, 0 if there are none.
func (r *Ratios) Percentile(percent float64) float64 {
	if r.histogram.TotalCount() == 0 {
		return 0
	}
	return float64(r.histogram.ValueAtPercentile(percent)) / ratioScale
}

// WorkBetween sums the run times, on speed 1, of the tasks that ended in a window.
func WorkBetween(work []Work, from, to time.Duration) time.Duration {
	var sum time.Duration
	for _, w := range work {
		if w.At >= from && w.At < to {
			sum += w.RunTime
		}
	}
	return sum
}

// Messages counts the messages of a run.
type Messages struct {
	// Starts is how many tasks were started.
	Starts uint64
	// Submissions is how many submissions were answered.
	Submissions uint64
	// Work counts start and result messages between entries and agents, and the
	// requests and answers of callers and endpoints.
	Work uint64
	// Other counts refusals, cancels, fences, witnesses and forwarded calls.
	Other uint64
	// Store counts requests to the table service and their replies.
	Store uint64
}

// necessary returns the number of messages that even the ideal needs: start and
// result of each task, both between entry and agent and between agent and endpoint,
// and submission and answer of each job.
func (m Messages) necessary() uint64 {
	return 4*m.Starts + 2*m.Submissions
}

// WastedPerStart returns the messages beyond the necessary ones per task start,
// with and without the messages of the store.
func (m Messages) WastedPerStart() (withStore, withoutStore float64) {
	if m.Starts == 0 {
		return 0, 0
	}
	wasted := float64(m.Other)
	if m.Work > m.necessary() {
		wasted += float64(m.Work - m.necessary())
	}
	starts := float64(m.Starts)
	return (wasted + float64(m.Store)) / starts, wasted / starts
}
