package launcher

import "github.com/uber-go/tally/v4"

// decisionCounters keeps one counter for each kind of decision: finding it by its
// tags each time costs more than most decisions. Only the control goroutine uses it.
type decisionCounters struct {
	scope tally.Scope
	kinds map[string]tally.Counter
}

func newDecisionCounters(scope tally.Scope) decisionCounters {
	return decisionCounters{scope: scope, kinds: make(map[string]tally.Counter)}
}

func (d decisionCounters) of(kind string) tally.Counter {
	counter, known := d.kinds[kind]
	if !known {
		counter = d.scope.Tagged(map[string]string{"kind": kind}).Counter("decisions")
		d.kinds[kind] = counter
	}
	return counter
}
