package limiter

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// riseAfter is the wait after which the priority of a task is raised by one level. A
// task of low priority thus competes with new tasks of high priority after 20 s. The
// interval exceeds the 7 s that normal tasks wait after a burst of 3 times the capacity
// for 2 s. With an interval of 2 s, they overtook the high tasks of the burst.
const riseAfter = 10 * time.Second

const levels = int(messenger.PriorityHigh) + 1

// Item is one waiting task.
type Item struct {
	Task     messenger.TaskKey
	Attempt  int
	Team     string
	Priority messenger.Priority
	// Enqueued is when the task started to wait.
	Enqueued time.Time
	// Arrival is the position of the job in the order of admission.
	Arrival  uint64
	Declared time.Duration
}

// Queue contains the waiting tasks of one class: one firm, service and label set. The
// order is priority with ageing, then weighted fair share among teams, then arrival of
// the job, then longest declared run time, then task index. Teams at their limit of
// running tasks are skipped.
type Queue struct {
	firm    string
	teams   *Teams
	levels  [levels]level
	entries map[messenger.TaskKey]*entry
	lines   map[string]*line
	// virtual is the virtual time of the fair queueing: the start tag of the task
	// served last.
	virtual float64
	// held are the tasks that Scan has held back, in the order in which they get slots.
	held []*entry
	// cursor selects the held task beyond the first maxTries that Scan visits next.
	cursor int
}

// entry is an item with its positions in the heaps.
type entry struct {
	Item
	level int
	line  *line
	held  bool
	// at is the index in the backlog, rise that in the level's heap of promotions.
	at, rise int
}

// line is the state of one team in this queue.
type line struct {
	account *account
	// start is the start tag of the team's next task, in virtual time.
	start float64
	// backlog holds the team's waiting tasks per level, except those held back.
	backlog [levels]backlog
	waiting int
	// active is the index in the level's list of teams while the team has tasks in the
	// level's backlog.
	active [levels]int
}

// level contains the teams with waiting tasks of one effective priority.
type level struct {
	active     []*line
	promotions promotions
}

// NewQueue returns an empty queue of a firm. Several queues may share teams.
func NewQueue(firm string, teams *Teams) *Queue {
	return &Queue{
		firm:    firm,
		teams:   teams,
		entries: make(map[messenger.TaskKey]*entry),
		lines:   make(map[string]*line),
	}
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return len(q.entries) }

// Push adds a task. It replaces a waiting task with the same key.
func (q *Queue) Push(now time.Time, item Item) {
	q.Remove(item.Task)
	e := &entry{Item: item, line: q.line(item.Team)}
	if e.line.waiting == 0 {
		// An idle team continues at the present virtual time, so that it accumulates
		// no credit while idle.
		e.line.start = max(e.line.start, q.virtual)
	}
	e.line.waiting++
	e.line.account.waiting++
	q.entries[item.Task] = e
	q.insert(e, EffectivePriority(now, item))
}

// Peek returns the next task, and false if none may start. Tasks that Scan has held
// back come first. Ties are broken by arrival, so the random source is not used.
func (q *Queue) Peek(now time.Time, _ *rand.Rand) (Item, bool) {
	e := q.next(now)
	if e == nil {
		return Item{}, false
	}
	return e.Item, true
}

// Pop removes and returns the task that Peek would return. The caller must call
// Teams.Started when it starts the task.
func (q *Queue) Pop(now time.Time, _ *rand.Rand) (Item, bool) {
	e := q.next(now)
	if e == nil {
		return Item{}, false
	}
	q.charge(e)
	q.delete(e)
	return e.Item, true
}

// charge counts a task against its team's share. A task that was held back has already
// been counted.
func (q *Queue) charge(e *entry) {
	if e.held {
		return
	}
	q.virtual = max(q.virtual, e.line.start)
	e.line.start += 1 / e.line.account.weight()
}

// Remove removes a task, and returns false if the task is not in the queue.
func (q *Queue) Remove(task messenger.TaskKey) bool {
	e, waits := q.entries[task]
	if waits {
		q.delete(e)
	}
	return waits
}

func (q *Queue) line(team string) *line {
	l, known := q.lines[team]
	if !known {
		l = &line{account: q.teams.account(q.firm, team), start: q.virtual}
		q.lines[team] = l
	}
	return l
}

func (q *Queue) delete(e *entry) {
	if e.held {
		q.held = slices.DeleteFunc(q.held, func(other *entry) bool { return other == e })
	} else {
		q.extract(e)
	}
	delete(q.entries, e.Task)
	e.line.account.waiting--
	e.line.waiting--
}

// EffectivePriority returns the priority of a task after ageing.
func EffectivePriority(now time.Time, item Item) int {
	risen := int(max(0, now.Sub(item.Enqueued)) / riseAfter)
	return min(clamp(item.Priority)+risen, levels-1)
}

func clamp(p messenger.Priority) int {
	return min(max(int(p), 0), levels-1)
}

func (q *Queue) insert(e *entry, to int) {
	e.level = to
	l := &q.levels[to]
	b := &e.line.backlog[to]
	if b.Len() == 0 {
		e.line.active[to] = len(l.active)
		l.active = append(l.active, e.line)
	}
	heap.Push(b, e)
	if to < levels-1 {
		heap.Push(&l.promotions, e)
	}
}

func (q *Queue) extract(e *entry) {
	l := &q.levels[e.level]
	b := &e.line.backlog[e.level]
	heap.Remove(b, e.at)
	if e.level < levels-1 {
		heap.Remove(&l.promotions, e.rise)
	}
	if b.Len() > 0 {
		return
	}
	at, last := e.line.active[e.level], len(l.active)-1
	l.active[at] = l.active[last]
	l.active[at].active[e.level] = at
	l.active[last] = nil
	l.active = l.active[:last]
}

// promote moves the tasks whose effective priority has risen to their new level.
func (q *Queue) promote(now time.Time) {
	for i := range levels - 1 {
		due := &q.levels[i].promotions
		for due.Len() > 0 && EffectivePriority(now, (*due)[0].Item) > i {
			e := (*due)[0]
			q.extract(e)
			q.insert(e, EffectivePriority(now, e.Item))
		}
	}
}

func (q *Queue) next(now time.Time) *entry {
	for _, e := range q.held {
		if e.line.account.mayStart() {
			return e
		}
	}
	return q.nextInLine(now)
}

func (q *Queue) nextInLine(now time.Time) *entry {
	q.promote(now)
	for i := levels - 1; i >= 0; i-- {
		if l := q.levels[i].first(i); l != nil {
			return l.backlog[i][0]
		}
	}
	return nil
}

// first returns the team whose task is next. There are few teams, so a linear search of
// those with waiting tasks costs less than a heap that has to skip teams at their limit.
func (l *level) first(at int) *line {
	var first *line
	for _, candidate := range l.active {
		if !candidate.account.mayStart() {
			continue
		}
		if first == nil || candidate.before(first, at) {
			first = candidate
		}
	}
	return first
}

func (l *line) before(other *line, at int) bool {
	if l.start != other.start {
		return l.start < other.start
	}
	return earlier(l.backlog[at][0], other.backlog[at][0])
}
