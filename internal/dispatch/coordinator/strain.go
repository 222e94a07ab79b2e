package coordinator

import (
	"fmt"
	"math"
	"time"
)

const (
	// lagWindow is the averaging window of the lag of calls for admission: about ten
	// calls of a busy entry. strainWindow is the averaging window for detecting strain.
	// It is longer, so that a short lull does not end the strain.
	lagWindow    = 100 * time.Millisecond
	strainWindow = 500 * time.Millisecond
	// strainThreshold is the lag above which an entry is strained. At this lag, it begins
	// to refuse jobs of the shortest tasks, whose objectives leave about 100 ms of slack.
	strainThreshold = 15 * time.Millisecond
	// strainDelay is how long the lag must stay above the threshold before the entry
	// counts as strained: a short stall ends by itself.
	strainDelay = 300 * time.Millisecond
	// reliefThreshold and reliefDelay are the same for the end of the strain. The gap
	// between the thresholds keeps the balancer from switching on every small change of
	// the load.
	reliefThreshold = 5 * time.Millisecond
	reliefDelay     = 2 * time.Second
	// lagsPerJob is how many times a job waits for this process: for the decision, for
	// its starts and for its results.
	lagsPerJob = 3
)

// strain tracks whether this process has too little processor time to handle its calls.
type strain struct {
	// shortTerm and longTerm are averages of the time from reading a call to deciding
	// on it, over lagWindow and strainWindow.
	shortTerm, longTerm movingAverage
	// strained becomes true after strainDelay of high lag, and false after reliefDelay
	// of low lag. crossedAt is when the lag crossed the threshold of the next change;
	// zero while it has not.
	strained  bool
	crossedAt time.Time
}

// movingAverage is an exponential moving average over a time window. Its value is that
// at the time of the last sample.
type movingAverage struct {
	value time.Duration
	at    time.Time
}

// minSampleSpan is the least time span by which a sample is weighted, even if it follows
// the previous sample sooner.
const minSampleSpan = 10 * time.Millisecond

func (a *movingAverage) add(now time.Time, value, window time.Duration) {
	span := max(now.Sub(a.at), minSampleSpan)
	weight := 1 - math.Exp(-span.Seconds()/window.Seconds())
	a.value += time.Duration(weight * float64(value-a.value))
	a.at = now
}

// read returns the average. The average decays once no sample was added for a window.
func (a *movingAverage) read(now time.Time, window time.Duration) time.Duration {
	idle := now.Sub(a.at)
	if idle <= window {
		return a.value
	}
	return time.Duration(float64(a.value) * math.Exp(1-idle.Seconds()/window.Seconds()))
}

// recordLag adds the lag of one call to the averages.
func (s *State) recordLag(receivedAt time.Time) {
	if receivedAt.IsZero() {
		return
	}
	lag := max(0, s.now.Sub(receivedAt))
	s.strain.shortTerm.add(s.now, lag, lagWindow)
	s.strain.longTerm.add(s.now, lag, strainWindow)
}

// lag returns the current average time from reading a call to deciding on it.
func (s *State) lag() time.Duration { return s.strain.shortTerm.read(s.now, lagWindow) }

// watchStrain updates whether this entry is strained.
func (s *State) watchStrain() {
	lag := s.strain.longTerm.read(s.now, strainWindow)
	crossed, delay := lag > strainThreshold, strainDelay
	if s.strain.strained {
		crossed, delay = lag < reliefThreshold, reliefDelay
	}
	switch {
	case !crossed:
		s.strain.crossedAt = time.Time{}
	case s.strain.crossedAt.IsZero():
		s.strain.crossedAt = s.now
	case s.now.Sub(s.strain.crossedAt) >= delay:
		s.strain.strained = !s.strain.strained
		s.strain.crossedAt = time.Time{}
		s.emit(Decision{Kind: s.strain.decision(), Reason: fmt.Sprintf("calls wait %v before they are decided on", lag.Round(time.Millisecond))})
	}
}

func (t strain) decision() DecisionKind {
	if t.strained {
		return DecisionStrained
	}
	return DecisionRelieved
}
