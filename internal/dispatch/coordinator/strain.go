package coordinator

import (
	"fmt"
	"math"
	"time"
)

const (
	// lagWindow is the time over which the lag of calls is averaged for admission: some
	// ten calls of a busy entry. strainWindow is the same for the strain, which is not
	// to end with a calm moment.
	lagWindow    = 100 * time.Millisecond
	strainWindow = 500 * time.Millisecond
	// strainThreshold is the lag above which an entry is strained. From there on it refuses
	// jobs of the shortest tasks, whose objectives leave some 100 ms of slack.
	strainThreshold = 15 * time.Millisecond
	// strainDelay is how long the lag lasts before the entry counts as strained: a
	// short stall ends by itself.
	strainDelay = 300 * time.Millisecond
	// reliefThreshold and reliefAfter are the same for the end of the strain. The distance
	// keeps the balancer from switching on every small change of the load.
	reliefThreshold = 5 * time.Millisecond
	reliefDelay     = 2 * time.Second
	// lagsPerJob is how often a job waits for this process: for the decision, for its
	// orders and for its results.
	lagsPerJob = 3
)

// strain tells whether this process has too little processor time for its calls.
type strain struct {
	// shortTerm and longTerm are the average times from reading a call to deciding on it.
	shortTerm, longTerm movingAverage
	// strained is true from strainAfter of high lag to reliefAfter of low lag;
	// changingSince is when the lag left the range of the present state.
	strained  bool
	crossedAt time.Time
}

// movingAverage is a moving movingAverage over a window of time, as of at.
type movingAverage struct {
	value time.Duration
	at    time.Time
}

// minSampleSpan is the time that a value stands for at least in an average, also right
// after another one.
const minSampleSpan = 10 * time.Millisecond

func (a *movingAverage) add(now time.Time, value, window time.Duration) {
	span := max(now.Sub(a.at), minSampleSpan)
	weight := 1 - math.Exp(-span.Seconds()/window.Seconds())
	a.value += time.Duration(weight * float64(value-a.value))
	a.at = now
}

// read returns the average. It fades when nothing has been added for a window.
func (a *movingAverage) read(now time.Time, window time.Duration) time.Duration {
	quiet := now.Sub(a.at)
	if quiet <= window {
		return a.value
	}
	return time.Duration(float64(a.value) * math.Exp(1-quiet.Seconds()/window.Seconds()))
}

// recordLag takes the lag of one call.
func (s *State) recordLag(receivedAt time.Time) {
	if receivedAt.IsZero() {
		return
	}
	lag := max(0, s.now.Sub(receivedAt))
	s.strain.shortTerm.add(s.now, lag, lagWindow)
	s.strain.longTerm.add(s.now, lag, strainWindow)
}

// lag is the present time from reading a call to deciding on it.
func (s *State) lag() time.Duration { return s.strain.shortTerm.read(s.now, lagWindow) }

// watchStrain decides whether this entry is strained.
func (s *State) watchStrain() {
	lag := s.strain.longTerm.read(s.now, strainWindow)
	leaving, patience := lag > strainThreshold, strainDelay
	if s.strain.strained {
		leaving, patience = lag < reliefThreshold, reliefDelay
	}
	switch {
	case !leaving:
		s.strain.crossedAt = time.Time{}
	case s.strain.crossedAt.IsZero():
		s.strain.crossedAt = s.now
	case s.now.Sub(s.strain.crossedAt) >= patience:
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
