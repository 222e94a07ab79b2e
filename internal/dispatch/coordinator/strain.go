package coordinator

import (
	"fmt"
	"math"
	"time"
)

const (
	// lagWindow is the time over which the lag of calls is averaged: some ten calls of
	// a busy entry.
	lagWindow = 500 * time.Millisecond
	// strainLag is the lag above which an entry is strained. From there on it refuses
	// jobs of the shortest tasks, whose objectives leave some 100 ms of slack.
	strainLag = 15 * time.Millisecond
	// strainAfter is how long the lag lasts before the entry counts as strained: a
	// short stall ends by itself.
	strainAfter = 300 * time.Millisecond
	// reliefLag and reliefAfter are the same for the end of the strain. The distance
	// keeps the balancer from switching on every small change of the load.
	reliefLag   = 5 * time.Millisecond
	reliefAfter = 2 * time.Second
	// lagPasses is how often a job waits for this process: for the decision, for its
	// orders and for its results.
	lagPasses = 3
)

// strain tells whether this process has too little processor time for its calls.
type strain struct {
	// lag is the average time from reading a call to deciding on it, as of at.
	lag time.Duration
	at  time.Time
	// strained is true from strainAfter of high lag to reliefAfter of low lag;
	// changingSince is when the lag left the range of the present state.
	strained      bool
	changingSince time.Time
}

// noteLag takes the lag of one call.
func (s *State) noteLag(receivedAt time.Time) {
	if receivedAt.IsZero() {
		return
	}
	lag := max(0, s.now.Sub(receivedAt))
	keep := math.Exp(-s.now.Sub(s.strain.at).Seconds() / lagWindow.Seconds())
	// A call counts at least a fiftieth, also right after another one.
	keep = min(keep, 0.98)
	s.strain.lag = time.Duration(keep*float64(s.strain.lag) + (1-keep)*float64(lag))
	s.strain.at = s.now
}

// lag is the present lag. Without calls it fades.
func (s *State) lag() time.Duration {
	quiet := s.now.Sub(s.strain.at)
	if quiet <= lagWindow {
		return s.strain.lag
	}
	return time.Duration(float64(s.strain.lag) * math.Exp(1-quiet.Seconds()/lagWindow.Seconds()))
}

// watchStrain decides whether this entry is strained.
func (s *State) watchStrain() {
	lag := s.lag()
	leaving, patience := lag > strainLag, strainAfter
	if s.strain.strained {
		leaving, patience = lag < reliefLag, reliefAfter
	}
	switch {
	case !leaving:
		s.strain.changingSince = time.Time{}
	case s.strain.changingSince.IsZero():
		s.strain.changingSince = s.now
	case s.now.Sub(s.strain.changingSince) >= patience:
		s.strain.strained = !s.strain.strained
		s.strain.changingSince = time.Time{}
		s.emit(Decision{Kind: s.strain.decision(), Reason: fmt.Sprintf("calls wait %v before they are decided on", lag.Round(time.Millisecond))})
	}
}

func (t strain) decision() DecisionKind {
	if t.strained {
		return DecisionStrained
	}
	return DecisionRelieved
}
