package coordinator

import (
	"strings"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/limiter"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/placer"
)

// retryBurst is how many retries may follow each other before the budget has to
// be earned by starts.
const retryBurst = 10

type serviceKey struct {
	firm    string
	service string
}

// classKey names the tasks that compete for the same endpoints.
type classKey struct {
	serviceKey
	labels string
}

// class is the waiting tasks of one class.
type class struct {
	key    classKey
	labels []string
	queue  *limiter.Queue
	// ordered is true while the class is in State.order.
	ordered bool
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

// enqueue makes a task wait for a slot, under its present attempt number.
func (s *State) enqueue(t *task) {
	if t.class == nil {
		t.class = s.classOf(t.job, t.job.submission.Tasks[t.index].Labels)
	}
	t.phase = taskWaiting
	t.class.wait(s.now, t)
	if !t.class.ordered {
		t.class.ordered = true
		s.order = append(s.order, t.class)
	}
	t.class.queue.Push(s.now, s.item(t))
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

// mayDispatch is false while this entry has not proved that it was not replaced. One
// that starts has only volatile jobs, which need no proof.
func (s *State) mayDispatch() bool {
	switch s.lifeCycle.Current() {
	case entryStarting, entryActive, entryDraining:
		return !s.unproved
	}
	return false
}

// dispatch sends waiting tasks while slots are thought to be free. The classes
// take turns in going first.
func (s *State) dispatch() {
	if !s.mayDispatch() || len(s.order) == 0 {
		return
	}
	waiting := s.order[:0]
	for _, c := range s.order {
		if c.queue.Len() > 0 {
			s.dispatchClass(c)
		}
		// Classes without waiting tasks are left out until there are some: callers
		// choose label sets, so there may be many.
		c.ordered = c.queue.Len() > 0
		if c.ordered {
			waiting = append(waiting, c)
		}
	}
	clear(s.order[len(waiting):])
	s.order = waiting
	if len(s.order) > 1 {
		s.order = append(s.order[1:], s.order[0])
	}
}

// dispatchClass scans the queue in order. A task that waits for a faster
// endpoint does not keep those behind it from the slots that are free.
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
	if t.attempt > 0 {
		kind = DecisionReplace
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
		TasksAhead:      s.ahead(c, s.item(t)),
		Urgent:          t.job.submission.Priority == messenger.PriorityHigh,
	})
}

// sendCopy asks the chosen agent to start one attempt.
func (s *State) sendCopy(t *task, attempt int, choice placer.Choice, kind DecisionKind) {
	a := s.agents[choice.Endpoint]
	if t.phase == taskWaiting {
		t.class.leave(t)
	}
	t.class.sent(t)
	s.setPending(t.job, false)
	t.phase = taskSent
	t.copies = append(t.copies, copySent{attempt: attempt, agent: a, at: s.now, overdueAt: s.overdueAt(t, a)})
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
	s.send(a.incarnation, s.startMessage(t, attempt, a))
}

func (s *State) startMessage(t *task, attempt int, a *agent) messenger.Start {
	key := t.job.submission.Key
	spec := t.job.submission.Tasks[t.index]
	return messenger.Start{
		Task:             t.key(),
		Attempt:          attempt,
		Owner:            s.Config.Incarnation,
		AgentIncarnation: a.incarnation,
		ReportSequence:   a.sequence,
		TimeLeft:         t.job.deadlineAt.Sub(s.now),
		Priority:         t.job.submission.Priority,
		Repeatable:       t.job.submission.Repeatable,
		Payload:          spec.Payload,
		ExpectedRunTime:  s.index.Expected(key.Firm, key.Service, spec.DeclaredRunTime),
		Volatile:         t.job.submission.Volatile,
		Size:             spec.Size,
		Position:         spec.Position,
	}
}

// takeCopy ends one attempt and frees what it held. It returns false if the
// attempt is not outstanding at that agent.
func (s *State) takeCopy(t *task, attempt int, from messenger.Incarnation, returned placer.TaskResult) bool {
	i := t.copyOf(attempt)
	if i < 0 || t.copies[i].agent.incarnation != from {
		return false
	}
	a := t.copies[i].agent
	t.copies = append(t.copies[:i], t.copies[i+1:]...)
	delete(a.sent, copyKey{task: t.key(), attempt: attempt})
	t.class.returned(t)
	returned.Declared = t.job.submission.Tasks[t.index].DeclaredRunTime
	returned.Size = t.job.submission.Tasks[t.index].Size
	s.index.Returned(s.now, a.name, returned)
	s.teams.Ended(t.job.submission.Key.Firm, t.job.submission.Team)
	return true
}

// hedge sends a second copy of repeatable requests that take long.
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
	if t.phase != taskSent || t.hedged || len(t.copies) != 1 || s.now.Sub(t.copies[0].at) < after {
		return
	}
	choice, ok := s.choose(t, t.class, t.copies[0].agent.name, 0)
	if !ok || choice.Endpoint == t.copies[0].agent.name || !s.budgetOf(t.job).Retry() {
		return
	}
	t.hedged = true
	t.attempt++
	s.counters.Hedges++
	s.sendCopy(t, t.attempt, choice, DecisionReplace)
}
