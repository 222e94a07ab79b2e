package limiter

import (
	"slices"
	"time"
)

const (
	// maxHeld bounds the tasks that are held back at a time.
	maxHeld = 512
	// maxTries bounds the tasks that one scan passes over, among those held
	// before and again among the others. It bounds the cost of an event.
	maxTries = 8
)

// ScanAction is what the visitor of Scan did with a task.
type ScanAction int

// The steps.
const (
	// Take removes the task: it was sent. The visitor has called Teams.Started.
	Take ScanAction = iota
	// Hold passes over the task: it waits for a faster endpoint, and tasks behind
	// it may use the slots that are free.
	Hold
	// Stop ends the scan: no slot is free.
	Stop
)

// Scan visits the waiting tasks in order, so that a task that waits for a fast
// endpoint does not keep the others from the slow ones. The visitor is told the
// place of the task among those held back, from 1, or 0 if the task cannot be
// held. It must not change the queue.
func (q *Queue) Scan(now time.Time, visit func(item Item, place int) ScanAction) {
	if q.scanHeld(visit) {
		q.scanLines(now, visit)
	}
}

// scanHeld visits the first held tasks, and one of the others in turn, because
// a task may have to give up waiting. It returns false to stop.
func (q *Queue) scanHeld(visit func(Item, int) ScanAction) bool {
	at, tries := 0, 0
	for at < len(q.held) && tries < maxTries {
		if !q.held[at].line.account.mayStart() {
			at++
			continue
		}
		switch q.visitHeld(at, visit) {
		case Take: // The next task has moved to this place.
		case Hold:
			at++
			tries++
		case Stop:
			return false
		}
	}
	rest := len(q.held) - at
	if rest == 0 {
		return true
	}
	q.cursor++
	at += q.cursor % rest
	return !q.held[at].line.account.mayStart() || q.visitHeld(at, visit) != Stop
}

func (q *Queue) visitHeld(at int, visit func(Item, int) ScanAction) ScanAction {
	e := q.held[at]
	step := visit(e.Item, at+1)
	if step == Take {
		q.delete(e)
	}
	return step
}

func (q *Queue) scanLines(now time.Time, visit func(Item, int) ScanAction) {
	for tries := 0; tries < maxTries; {
		e := q.nextInLine(now)
		if e == nil {
			return
		}
		at, place := q.claim(now, e), 0
		if len(q.held) < maxHeld {
			place = at + 1
		}
		switch step := visit(e.Item, place); {
		case step == Take:
			q.charge(e)
			q.delete(e)
		case step == Hold && place > 0:
			q.hold(e, at)
			tries++
		default:
			return
		}
	}
}

// claim returns the position that e takes among the held tasks: behind those of
// the same or a higher priority after ageing.
func (q *Queue) claim(now time.Time, e *entry) int {
	at := len(q.held)
	for at > 0 && EffectivePriority(now, q.held[at-1].Item) < e.level {
		at--
	}
	return at
}

func (q *Queue) hold(e *entry, at int) {
	q.charge(e)
	q.extract(e)
	e.held = true
	q.held = slices.Insert(q.held, at, e)
}
