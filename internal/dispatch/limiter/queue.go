package limiter

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// ageingInterval is the wait after which the priority of a task is raised by one level. A
// task of low priority thus competes with new tasks of high priority after 20 s. The
// interval exceeds the 7 s that normal tasks wait after a burst of 3 times the capacity
// for 2 s. With an interval of 2 s, they overtook the high tasks of the burst.
const ageingInterval = 10 * time.Second

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
	firm       string
	teams      *Teams
	levels     [levels]level
	tasks      map[messenger.TaskKey]*queuedTask
	teamQueues map[string]*teamQueue
	// virtualTime is the virtual time of the fair queueing: the start tag of the task
	// served last.
	virtualTime float64
	// held are the tasks that Scan has held back, in the order in which they get slots.
	held []*queuedTask
	// heldCursor selects the held task that Scan visits in addition to the first ones.
	heldCursor int
}

// queuedTask is an item with its positions in the heaps.
type queuedTask struct {
	Item
	level int
	team  *teamQueue
	held  bool
	// backlogIndex is the index in the team's backlog, promotionIndex that in the level's
	// promotions.
	backlogIndex, promotionIndex int
}

// teamQueue is the state of one team in this queue.
type teamQueue struct {
	account *account
	// startTag is the start tag of the team's next task, in virtual time.
	startTag float64
	// backlog holds the team's waiting tasks per level, except those held back.
	backlog [levels]backlog
	waiting int
	// levelIndex is the index in the level's list of teams while the team has tasks in the
	// level's backlog.
	levelIndex [levels]int
}

// level contains the teams with waiting tasks of one effective priority.
type level struct {
	teams      []*teamQueue
	promotions promotions
}

// NewQueue returns an empty queue of a firm. Several queues may share teams.
func NewQueue(firm string, teams *Teams) *Queue {
	return &Queue{
		firm:       firm,
		teams:      teams,
		tasks:      make(map[messenger.TaskKey]*queuedTask),
		teamQueues: make(map[string]*teamQueue),
	}
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return len(q.tasks) }

// Push adds a task. It replaces a waiting task with the same key.
func (q *Queue) Push(now time.Time, item Item) {
	q.Remove(item.Task)
	e := &queuedTask{Item: item, team: q.teamQueue(item.Team)}
	if e.team.waiting == 0 {
		// An idle team continues at the present virtual time, so that it accumulates
		// no credit while idle.
		e.team.startTag = max(e.team.startTag, q.virtualTime)
	}
	e.team.waiting++
	e.team.account.waiting++
	q.tasks[item.Task] = e
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
func (q *Queue) charge(e *queuedTask) {
	if e.held {
		return
	}
	q.virtualTime = max(q.virtualTime, e.team.startTag)
	e.team.startTag += 1 / e.team.account.weight()
}

// Remove removes a task, and returns false if the task is not in the queue.
func (q *Queue) Remove(task messenger.TaskKey) bool {
	e, waits := q.tasks[task]
	if waits {
		q.delete(e)
	}
	return waits
}

func (q *Queue) teamQueue(team string) *teamQueue {
	l, known := q.teamQueues[team]
	if !known {
		l = &teamQueue{account: q.teams.account(q.firm, team), startTag: q.virtualTime}
		q.teamQueues[team] = l
	}
	return l
}

func (q *Queue) delete(e *queuedTask) {
	if e.held {
		q.held = slices.DeleteFunc(q.held, func(other *queuedTask) bool { return other == e })
	} else {
		q.extract(e)
	}
	delete(q.tasks, e.Task)
	e.team.account.waiting--
	e.team.waiting--
}

// EffectivePriority returns the priority of a task after ageing.
func EffectivePriority(now time.Time, item Item) int {
	risen := int(max(0, now.Sub(item.Enqueued)) / ageingInterval)
	return min(clamp(item.Priority)+risen, levels-1)
}

func clamp(p messenger.Priority) int {
	return min(max(int(p), 0), levels-1)
}

func (q *Queue) insert(e *queuedTask, to int) {
	e.level = to
	l := &q.levels[to]
	b := &e.team.backlog[to]
	if b.Len() == 0 {
		e.team.levelIndex[to] = len(l.teams)
		l.teams = append(l.teams, e.team)
	}
	heap.Push(b, e)
	if to < levels-1 {
		heap.Push(&l.promotions, e)
	}
}

func (q *Queue) extract(e *queuedTask) {
	l := &q.levels[e.level]
	b := &e.team.backlog[e.level]
	heap.Remove(b, e.backlogIndex)
	if e.level < levels-1 {
		heap.Remove(&l.promotions, e.promotionIndex)
	}
	if b.Len() > 0 {
		return
	}
	at, last := e.team.levelIndex[e.level], len(l.teams)-1
	l.teams[at] = l.teams[last]
	l.teams[at].levelIndex[e.level] = at
	l.teams[last] = nil
	l.teams = l.teams[:last]
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

func (q *Queue) next(now time.Time) *queuedTask {
	for _, e := range q.held {
		if e.team.account.mayStart() {
			return e
		}
	}
	return q.nextQueued(now)
}

func (q *Queue) nextQueued(now time.Time) *queuedTask {
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
func (l *level) first(index int) *teamQueue {
	var first *teamQueue
	for _, candidate := range l.teams {
		if !candidate.account.mayStart() {
			continue
		}
		if first == nil || candidate.before(first, index) {
			first = candidate
		}
	}
	return first
}

func (l *teamQueue) before(other *teamQueue, index int) bool {
	if l.startTag != other.startTag {
		return l.startTag < other.startTag
	}
	return earlier(l.backlog[index][0], other.backlog[index][0])
}
