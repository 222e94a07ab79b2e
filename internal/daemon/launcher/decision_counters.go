package launcher

import "github.com/uber-go/tally/v4"

// decisionCounters caches one counter for each kind of decision, because looking up a
// counter by its tags costs more than most decisions. It is not safe for concurrent use:
// only the control goroutine uses it.
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
