package collector

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxSlots bounds the number of time slots. When a run becomes longer, the slots are
	// joined in pairs.
	maxSlots = 240
	// maxNames bounds the distinct queues, reasons and processes that are counted by name.
	maxNames = 1000
	// otherName counts what is beyond maxNames.
	otherName = "(other)"
	// maxBadSamples bounds the kept examples of lines that could not be decoded.
	maxBadSamples = 5
	// The range and the precision of the histograms of latencies, in microseconds.
	minLatency       = 1
	maxLatency       = 3_600_000_000
	significantDigit = 2
)

// Class is the outcome of a request as its caller saw it.
type Class string

// The classes.
const (
	ClassCompleted Class = "completed"
	ClassFailed    Class = "failed"
	// ClassRefused are requests that have not run and never will.
	ClassRefused Class = "refused"
	// ClassUnknown are requests that may have run.
	ClassUnknown Class = "outcome_unknown"
	// ClassLeft are requests whose caller closed the connection before the answer.
	ClassLeft  Class = "caller_left"
	ClassOther Class = "other"
)

// Classes lists all classes in the order in which they are shown.
func Classes() []Class {
	return []Class{ClassCompleted, ClassFailed, ClassRefused, ClassUnknown, ClassLeft, ClassOther}
}

// Counts counts by name.
type Counts map[string]int

// Queue holds the figures of one queue.
type Queue struct {
	Answers map[Class]int
	// Latency is the time from the request to a completed or failed outcome, in
	// microseconds.
	Latency *hdrhistogram.Histogram
}

// LatencyAt returns a quantile of the latency, in seconds.
func (q *Queue) LatencyAt(percent float64) float64 {
	return (time.Duration(q.Latency.ValueAtQuantile(percent)) * time.Microsecond).Seconds()
}

// Slot holds the figures of one span of time.
type Slot struct {
	Queues map[string]*Queue
	// Refusals are counted by reason, RetryAfter by what the callers were told, and
	// Placements by the reason of the choice.
	Refusals, RetryAfter, Placements Counts
	Retries                          int
	LinksOpened, LinksClosed         int
}

// Mark is an event that explains what happens after it.
type Mark struct {
	At      time.Time
	Process string
	Message string
}

// Process holds what is known of one process.
type Process struct {
	Lines           int
	First, Last     time.Time
	Starts          int
	SettingsVersion uint64
}

// Run aggregates the lines of a run. It implements Sink. The zero value is ready for use,
// with slots of one second.
type Run struct {
	// Filter selects lines; nil selects all.
	Filter func(*Line) bool

	Width       time.Duration
	Slots       map[int64]*Slot
	Begin, End  time.Time
	Lines, Bad  int
	BadSamples  []string
	Processes   map[string]*Process
	Marks       []Mark
	MarksLeft   int
	Total       Slot
	nameCounter map[string]bool
}

// maxMarks bounds the kept marks; the others are counted in MarksLeft.
const maxMarks = 2000

// markMessages are the messages that become marks.
var markMessages = map[string]bool{
	"entry starts": true, "agent starts": true, "entry has stopped": true, "agent has stopped": true,
	"store lost: settings can't be read, the previous ones stay in force": true,
	"store regained: settings can be read again":                          true,
	"endpoint has restarted; ending or stopping its runs":                 true,
	"endpoint is not ready; refusing new tasks":                           true,
	"endpoint is ready for tasks":                                         true,
	"settings read":                                                       true,
	"log lines dropped":                                                   true,
}

// AddBad implements Sink.
func (r *Run) AddBad(text string, err error) {
	r.Bad++
	if len(r.BadSamples) < maxBadSamples {
		r.BadSamples = append(r.BadSamples, err.Error()+": "+text)
	}
}

// Add implements Sink.
func (r *Run) Add(line *Line) {
	if r.Filter != nil && !r.Filter(line) {
		return
	}
	r.prepare()
	r.Lines++
	r.addProcess(line)
	if r.Begin.IsZero() || line.Time.Before(r.Begin) {
		r.Begin = line.Time
	}
	if line.Time.After(r.End) {
		r.End = line.Time
	}
	slot := r.slot(line.Time)
	for _, s := range []*Slot{slot, &r.Total} {
		r.count(s, line)
	}
	if markMessages[line.Message] {
		r.mark(line)
	}
}

func (r *Run) prepare() {
	if r.Slots != nil {
		return
	}
	if r.Width == 0 {
		r.Width = time.Second
	}
	r.Slots = make(map[int64]*Slot)
	r.Processes = make(map[string]*Process)
	r.nameCounter = make(map[string]bool)
	r.Total = *newSlot()
}

func newSlot() *Slot {
	return &Slot{Queues: map[string]*Queue{}, Refusals: Counts{}, RetryAfter: Counts{}, Placements: Counts{}}
}

func (r *Run) addProcess(line *Line) {
	name := r.bounded(line.Process)
	p := r.Processes[name]
	if p == nil {
		p = &Process{First: line.Time}
		r.Processes[name] = p
	}
	p.Lines++
	if line.Time.Before(p.First) {
		p.First = line.Time
	}
	if line.Time.After(p.Last) {
		p.Last = line.Time
	}
	switch line.Message {
	case "entry starts", "agent starts":
		p.Starts++
	case "settings read":
		p.SettingsVersion = line.Version
	}
}

// bounded returns a name, or otherName once too many names have been seen.
func (r *Run) bounded(name string) string {
	if !r.nameCounter[name] && len(r.nameCounter) >= maxNames {
		return otherName
	}
	r.nameCounter[name] = true
	return name
}

func (r *Run) mark(line *Line) {
	if len(r.Marks) >= maxMarks {
		r.MarksLeft++
		return
	}
	r.Marks = append(r.Marks, Mark{At: line.Time, Process: line.Process, Message: line.Message})
}

// slot returns the slot of a time. It joins slots in pairs while there are too many.
func (r *Run) slot(at time.Time) *Slot {
	key := at.UnixNano() / int64(r.Width)
	if s := r.Slots[key]; s != nil {
		return s
	}
	for len(r.Slots) >= maxSlots {
		r.joinSlots()
		key = at.UnixNano() / int64(r.Width)
	}
	if s := r.Slots[key]; s != nil {
		return s
	}
	s := newSlot()
	r.Slots[key] = s
	return s
}

func (r *Run) joinSlots() {
	r.Width *= 2
	joined := make(map[int64]*Slot, len(r.Slots)/2+1)
	for key, s := range r.Slots {
		// Division rounds towards zero; all times are after 1970.
		if other := joined[key/2]; other != nil {
			other.add(s)
			continue
		}
		joined[key/2] = s
	}
	r.Slots = joined
}

func (s *Slot) add(other *Slot) {
	for name, q := range other.Queues {
		mine := s.queue(name)
		for class, n := range q.Answers {
			mine.Answers[class] += n
		}
		mine.Latency.Merge(q.Latency)
	}
	for _, pair := range [][2]Counts{{s.Refusals, other.Refusals}, {s.RetryAfter, other.RetryAfter}, {s.Placements, other.Placements}} {
		for name, n := range pair[1] {
			pair[0][name] += n
		}
	}
	s.Retries += other.Retries
	s.LinksOpened += other.LinksOpened
	s.LinksClosed += other.LinksClosed
}

func (s *Slot) queue(name string) *Queue {
	q := s.Queues[name]
	if q == nil {
		q = &Queue{Answers: map[Class]int{}, Latency: hdrhistogram.New(minLatency, maxLatency, significantDigit)}
		s.Queues[name] = q
	}
	return q
}

func (r *Run) count(s *Slot, line *Line) {
	switch line.Message {
	case "answered":
		r.countAnswer(s, line)
	case "request refused":
		s.queue("(none)").Answers[classOf(line)]++
		s.Refusals[r.bounded(reasonOf(line.Reason))]++
	case "caller closed the connection before the answer":
		s.queue(r.bounded(line.Queue)).Answers[ClassLeft]++
	case "decision":
		r.countDecision(s, line)
	case "link opened":
		s.LinksOpened++
	case "link closed":
		s.LinksClosed++
	}
}

func (r *Run) countAnswer(s *Slot, line *Line) {
	class := classOf(line)
	q := s.queue(r.bounded(line.Queue))
	q.Answers[class]++
	switch class {
	case ClassCompleted, ClassFailed:
		// A value outside of the histogram's range is only possible in a damaged line.
		_ = q.Latency.RecordValue(max(minLatency, min(maxLatency, line.After.Microseconds())))
	case ClassRefused, ClassUnknown:
		s.Refusals[r.bounded(reasonOf(line.Outcome))]++
		s.RetryAfter[r.bounded(line.RetryAfter.Round(time.Second).String())]++
	case ClassLeft, ClassOther:
	}
}

func (r *Run) countDecision(s *Slot, line *Line) {
	switch line.Kind {
	case "place":
		s.Placements[r.bounded(line.Reason)]++
	case "place_again":
		s.Placements[r.bounded(line.Reason)]++
		s.Retries++
	}
}

func classOf(line *Line) Class {
	switch line.Status {
	case 200:
		if strings.HasPrefix(line.Outcome, "failed") {
			return ClassFailed
		}
		return ClassCompleted
	case 429, 503:
		return ClassRefused
	case 502, 504:
		return ClassUnknown
	}
	return ClassOther
}

// reasonOf returns the code of a refusal, "code: text", or its text without figures.
func reasonOf(text string) string {
	if code, _, found := strings.Cut(text, ":"); found && !strings.Contains(code, " ") {
		return code
	}
	return strings.Map(func(c rune) rune {
		if c >= '0' && c <= '9' {
			return '#'
		}
		return c
	}, text)
}

// SortedKeys returns the keys of a map in order.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// SlotTime returns the begin of a slot.
func (r *Run) SlotTime(key int64) time.Time { return time.Unix(0, key*int64(r.Width)).UTC() }
