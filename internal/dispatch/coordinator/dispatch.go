package coordinator

import (
	"strings"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/limiter"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/placer"
)

// retryBurst is the number of retries that a service may use before its retry budget
// has to be refilled by starts.
const retryBurst = 10

type serviceKey struct {
	firm    string
	service string
}

// classKey identifies a class: tasks that compete for the same endpoints.
type classKey struct {
	serviceKey
	labels string
}

// class holds the waiting tasks and the backlog of one class.
type class struct {
	key    classKey
	labels []string
	queue  *limiter.Queue
	// inOrder is true while the class is in State.order.
	inOrder bool
	backlog
}

func (s *State) classOf(j *job, labels []string) *class {
	key := classKey{
		serviceKey: serviceKey{firm: j.submission.Key.Firm, service: j.submission.Key.Service},
		labels:     strings.Join(labels, "\x00"),
	}
	c := s.classes[key]
	if c == nil {
		c = &class{key: key, labels: labels, queue: limiter.NewQueue(key.firm, s.teams)}
		s.classes[key] = c
	}
	return c
}

func (s *State) budgetOf(j *job) *limiter.Budget {
	key := serviceKey{firm: j.submission.Key.Firm, service: j.submission.Key.Service}
	b := s.budgets[key]
	if b == nil {
		b = limiter.NewBudget(j.settings.RetryBudget, retryBurst)
		s.budgets[key] = b
	}
	return b
}

// enqueue adds a task to its class's queue, under the task's current attempt number.
func (s *State) enqueue(t *task) {
	if t.class == nil {
		t.class = s.classOf(t.job, t.job.submission.Tasks[t.index].Labels)
	}
	t.phase = taskWaiting
	if t.job.late != nil {
		s.teams.AddWaiting(t.job.submission.Key.Firm, t.job.submission.Team, 1)
		s.updateLate(t.job)
		return
	}
	t.class.taskEnqueued(s.now, t)
	if !t.class.inOrder {
		t.class.inOrder = true
		s.order = append(s.order, t.class)
	}
	t.class.queue.Push(s.now, s.item(t))
}

// dequeue removes a waiting task from its class's queue or from the backlog of late jobs.
// For a late job, the caller then changes the phase of the task and calls updateLate.
func (s *State) dequeue(t *task) {
	if t.job.late != nil {
		s.teams.AddWaiting(t.job.submission.Key.Firm, t.job.submission.Team, -1)
		return
	}
	t.class.queue.Remove(t.key())
	t.class.taskDequeued(t)
}

func (s *State) item(t *task) limiter.Item {
	return limiter.Item{
		Task:     t.key(),
		Attempt:  t.attempt,
		Team:     t.job.submission.Team,
		Priority: t.job.submission.Priority,
		Enqueued: t.job.admittedAt,
		Arrival:  t.job.arrival,
		Declared: t.job.submission.Tasks[t.index].DeclaredRunTime,
	}
}

// mayDispatch reports whether this entry may send tasks. It may not while another entry
// may have replaced it. An entry that is starting may dispatch: it has only volatile
// jobs, which do not require its row.
func (s *State) mayDispatch() bool {
	switch s.lifeCycle.Current() {
	case entryStarting, entryActive, entryDraining:
		return !s.leaseUnverified
	}
	return false
}

// dispatch sends waiting tasks to agents that are assumed to have free slots, those of
// late jobs last.
func (s *State) dispatch() {
	if !s.mayDispatch() {
		return
	}
	s.dispatchClasses()
	s.dispatchLate()
}

// dispatchClasses visits the classes with waiting tasks. Their order rotates with each
// call.
func (s *State) dispatchClasses() {
	if len(s.order) == 0 {
		return
	}
	waiting := s.order[:0]
	for _, c := range s.order {
		if c.queue.Len() > 0 {
			s.dispatchClass(c)
		}
		// Classes without waiting tasks are removed from the order: callers choose the
		// label sets, so there may be many classes.
		c.inOrder = c.queue.Len() > 0
		if c.inOrder {
			waiting = append(waiting, c)
		}
	}
	clear(s.order[len(waiting):])
	s.order = waiting
	if len(s.order) > 1 {
		s.order = append(s.order[1:], s.order[0])
	}
}

// dispatchClass scans the queue in order. A task that waits for a faster endpoint does
// not block the tasks behind it from free slots.
func (s *State) dispatchClass(c *class) {
	c.queue.Scan(s.now, func(item limiter.Item, place int) limiter.ScanAction {
		t := s.findTask(item.Task)
		choice, ok := s.choose(t, c, "", place)
		if !ok && (choice.Reason == placer.ReasonHeldBack || choice.Reason == placer.ReasonNoRoom) {
			return limiter.Hold
		}
		if !ok {
			return limiter.Stop
		}
		s.place(t, choice)
		return limiter.Take
	})
}

func (s *State) place(t *task, choice placer.Choice) {
	kind := DecisionPlace
	if t.attempt > t.job.firstAttempt {
		kind = DecisionPlaceAgain
		s.counters.StartsAgain++
	}
	s.sendCopy(t, t.attempt, choice, kind)
}

func (s *State) choose(t *task, c *class, avoid string, place int) (placer.Choice, bool) {
	return s.index.Choose(s.now, s.Random, placer.Query{
		Firm:            c.key.firm,
		Service:         c.key.service,
		Labels:          c.labels,
		Declared:        t.job.submission.Tasks[t.index].DeclaredRunTime,
		Size:            t.job.submission.Tasks[t.index].Size,
		Avoid:           avoid,
		FailedEndpoints: t.failedAt,
		WaitPosition:    place,
		TasksAhead:      s.moreUrgentAtPeers(c, s.item(t)),
		Urgent:          t.job.late == nil && t.job.submission.Priority == messenger.PriorityHigh,
	})
}

// sendCopy sends the start of one attempt to the chosen agent.
func (s *State) sendCopy(t *task, attempt int, choice placer.Choice, kind DecisionKind) {
	a := s.agents[choice.Endpoint]
	switch {
	case t.phase == taskWaiting && t.job.late != nil:
		s.dequeue(t)
		t.job.lateBacklog.placed(s.now, workOf(t))
	case t.phase == taskWaiting:
		t.class.taskDequeued(t)
	}
	t.class.attemptSent(t)
	s.setPending(t.job, false)
	t.phase = taskSent
	t.copies = append(t.copies, sentCopy{
		attempt: attempt, agent: a, at: s.now, reportSequence: a.sequence, overdueAt: s.overdueAt(t, a),
	})
	if t.job.late != nil {
		s.updateLate(t.job)
	}
	a.sent[copyKey{task: t.key(), attempt: attempt}] = t
	s.index.Sent(s.now, a.name, t.job.submission.Tasks[t.index].Size)
	s.teams.Started(t.job.submission.Key.Firm, t.job.submission.Team)
	s.budgetOf(t.job).Started()
	s.counters.Starts++
	s.emit(Decision{
		Kind:       kind,
		Submission: t.job.submission.Key,
		Task:       t.index,
		Attempt:    attempt,
		Endpoint:   choice.Endpoint,
		Reason:     choice.Reason,
		Considered: choice.Considered,
		RunnerUp:   choice.RunnerUp,
	})
	start := s.startMessage(t, &t.copies[len(t.copies)-1])
	start.NoQueue = t.mayReroute(attempt, choice)
	s.send(a.incarnation, start)
}

func (s *State) startMessage(t *task, sent *sentCopy) messenger.Start {
	key := t.job.submission.Key
	spec := t.job.submission.Tasks[t.index]
	return messenger.Start{
		Task:             t.key(),
		Attempt:          sent.attempt,
		Owner:            s.Config.Incarnation,
		AgentIncarnation: sent.agent.incarnation,
		ReportSequence:   sent.reportSequence,
		TimeLeft:         t.job.deadlineAt.Sub(s.now),
		Priority:         t.priorityAtAgent(),
		Repeatable:       t.job.submission.Repeatable,
		Payload:          spec.Payload,
		ExpectedRunTime:  s.index.Expected(key.Firm, key.Service, spec.DeclaredRunTime),
		Volatile:         t.job.submission.Volatile,
		Size:             spec.Size,
		Position:         spec.Position,
		DespiteSuspicion: s.usedDespiteSuspicion(sent.agent),
	}
}

// priorityAtAgent returns the priority of a task in the queue of its agent. Tasks of late
// jobs come last there as well.
func (t *task) priorityAtAgent() messenger.Priority {
	if t.job.late != nil {
		return messenger.PriorityLow
	}
	return t.job.submission.Priority
}

// removeCopy removes an attempt from the outstanding ones and releases its slot and its
// quota. It returns false if the attempt is not outstanding at that agent.
func (s *State) removeCopy(t *task, attempt int, from messenger.Incarnation, returned placer.TaskResult) bool {
	i := t.copyOf(attempt)
	if i < 0 || t.copies[i].agent.incarnation != from {
		return false
	}
	a := t.copies[i].agent
	t.copies = append(t.copies[:i], t.copies[i+1:]...)
	delete(a.sent, copyKey{task: t.key(), attempt: attempt})
	t.class.attemptEnded(t)
	returned.Declared = t.job.submission.Tasks[t.index].DeclaredRunTime
	returned.Size = t.job.submission.Tasks[t.index].Size
	s.index.Returned(s.now, a.name, returned)
	s.teams.Ended(t.job.submission.Key.Firm, t.job.submission.Team)
	return true
}

// hedge sends a second attempt of repeatable tasks whose first attempt was sent at least
// hedge_after ago and has no result.
func (s *State) hedge() {
	kept := s.hedgeable[:0]
	for _, j := range s.hedgeable {
		if j.open == 0 {
			continue
		}
		kept = append(kept, j)
		for i := range j.tasks {
			s.hedgeTask(&j.tasks[i])
		}
	}
	s.hedgeable = kept
}

func (s *State) hedgeTask(t *task) {
	after := time.Duration(t.job.settings.HedgeAfter)
	if t.phase != taskSent || t.hedged || t.job.late != nil || len(t.copies) != 1 || s.now.Sub(t.copies[0].at) < after {
		return
	}
	choice, ok := s.choose(t, t.class, t.copies[0].agent.name, 0)
	if !ok || choice.Endpoint == t.copies[0].agent.name || !s.budgetOf(t.job).Retry() {
		return
	}
	t.hedged = true
	t.attempt++
	s.counters.Hedges++
	s.sendCopy(t, t.attempt, choice, DecisionPlaceAgain)
}
