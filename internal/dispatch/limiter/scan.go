package limiter

import (
	"slices"
	"time"
)

const (
	// maxHeld is the maximum number of tasks held back at the same time.
	maxHeld = 512
	// maxHeldPerScan limits the visits of one scan that end with Hold, and so the cost of
	// an event. It applies separately to the tasks that were already held and to the
	// queued ones.
	maxHeldPerScan = 8
)

// ScanAction is the result of a visit by Scan.
type ScanAction int

// The results of a visit.
const (
	// Take removes the task from the queue, because it was sent. The visitor has called
	// Teams.Started.
	Take ScanAction = iota
	// Hold holds the task back, because it waits for a faster endpoint. The tasks
	// behind it may use the free slots. For a task with position 0, Hold ends the scan
	// like Stop.
	Hold
	// Stop ends the scan, because no slot is free.
	Stop
)

// Scan visits the waiting tasks in order, so that a task that waits for a fast endpoint
// does not prevent the others from using slow ones. The visitor receives the position
// that the task has or would get among those held back, from 1, or 0 if the task can't
// be held back. The visitor must not change the queue.
func (q *Queue) Scan(now time.Time, visit func(item Item, position int) ScanAction) {
	if q.scanHeld(visit) {
		q.scanQueued(now, visit)
	}
}

// scanHeld visits the first held tasks. It also visits one of the other held tasks, a
// different one in each scan, because waiting may no longer be worthwhile for that
// task. It returns false if the scan is to stop.
func (q *Queue) scanHeld(visit func(Item, int) ScanAction) bool {
	at, tries := 0, 0
	for at < len(q.held) && tries < maxHeldPerScan {
		if !q.held[at].team.account.mayStart() {
			at++
			continue
		}
		switch q.visitHeld(at, visit) {
		case Take: // The next task has moved to this index.
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
	q.heldCursor++
	at += q.heldCursor % rest
	return !q.held[at].team.account.mayStart() || q.visitHeld(at, visit) != Stop
}

func (q *Queue) visitHeld(at int, visit func(Item, int) ScanAction) ScanAction {
	e := q.held[at]
	action := visit(e.Item, at+1)
	if action == Take {
		q.delete(e)
	}
	return action
}

func (q *Queue) scanQueued(now time.Time, visit func(Item, int) ScanAction) {
	for tries := 0; tries < maxHeldPerScan; {
		e := q.nextQueued(now)
		if e == nil {
			return
		}
		at, position := q.heldIndex(now, e), 0
		if len(q.held) < maxHeld {
			position = at + 1
		}
		switch action := visit(e.Item, position); {
		case action == Take:
			q.charge(e)
			q.delete(e)
		case action == Hold && position > 0:
			q.hold(e, at)
			tries++
		default:
			return
		}
	}
}

// heldIndex returns the index at which e is to be inserted into the held tasks: behind
// those of the same or a higher effective priority.
func (q *Queue) heldIndex(now time.Time, e *queuedTask) int {
	at := len(q.held)
	for at > 0 && EffectivePriority(now, q.held[at-1].Item) < e.level {
		at--
	}
	return at
}

func (q *Queue) hold(e *queuedTask, at int) {
	q.charge(e)
	q.extract(e)
	e.held = true
	q.held = slices.Insert(q.held, at, e)
}
