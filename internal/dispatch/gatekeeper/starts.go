package gatekeeper

import (
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

func (s *State) received(from messenger.Incarnation, m messenger.Message) {
	switch m := m.(type) {
	case messenger.Status:
		s.status(from, m)
	case messenger.Start:
		s.start(from, m)
	case messenger.Cancel:
		s.cancel(from, m)
	case messenger.Fence:
		s.fence(from, m)
	case messenger.Witness:
		s.witness(from, m)
	default:
		// Other messages are not meant for agents. Entries of another version may
		// still send them.
	}
}

// start decides whether an attempt starts, is queued or is refused.
func (s *State) start(from messenger.Incarnation, m messenger.Start) {
	if m.AgentIncarnation != s.Incarnation {
		// Another incarnation of this agent may have started the task, so the refusal
		// does not prove that it never started.
		s.refuse(from, m, messenger.RefusedIncarnation, false)
		return
	}
	known := s.records[m.Task]
	if known == nil && s.isReleased(from) {
		s.refuseWithTombstone(from, m, messenger.RefusedDraining)
		return
	}
	if m.Volatile {
		s.renewOwner(from, m.ReportSequence)
		s.startVolatile(from, m, known)
		return
	}
	if known != nil && s.answerRecorded(from, m, known) {
		return
	}
	if reason, refused := s.refusal(m); refused {
		s.refuseWithTombstone(from, m, reason)
		return
	}
	r := s.newRecord(m)
	s.noteProbe(r)
	if l := s.entries[from]; l != nil {
		// The entry already counts the task that it starts, so this start alone must not
		// trigger a load report to that entry.
		l.reportedLoad++
	}
	if s.fits(r.size) {
		s.invoke(r)
		return
	}
	s.enqueue(r)
}

// fits reports whether the endpoint has free capacity for a task of the given size.
func (s *State) fits(size messenger.Resources) bool {
	if s.endpoint.Capacity.IsZero() {
		return s.running < s.endpoint.Slots
	}
	return size.FitsInto(s.endpoint.Capacity.Sub(s.taken))
}

// answerRecorded answers a start whose task already has a record. It returns false if
// the start is a new attempt that still has to be decided.
func (s *State) answerRecorded(from messenger.Incarnation, m messenger.Start, r *record) bool {
	switch {
	case m.Attempt < r.attempt:
		// A late copy of an attempt that the owner has already replaced.
		return true
	case m.Attempt == r.attempt && m.Owner == r.owner:
		s.repeatAnswer(from, r)
		return true
	case r.state == messenger.RecordTombstoned && m.Attempt == r.attempt, r.pastAttempt(attemptKey{m.Owner, m.Attempt}) != nil:
		// The attempt is known not to start, or it was tombstoned for another owner.
		s.refuse(from, m, messenger.RefusedTombstone, s.provesNeverStarted(m))
		return true
	case r.state == messenger.RecordTombstoned:
		return false
	case r.repeatable && r.state == messenger.RecordFinished:
		return false
	case r.repeatable:
		proven := s.provesNeverStarted(m)
		r.notePast(attemptKey{m.Owner, m.Attempt}, proven)
		s.refuse(from, m, messenger.RefusedStarted, proven)
		return true
	default:
		s.refuse(from, m, messenger.RefusedStarted, false)
		return true
	}
}

// repeatAnswer answers a duplicate of a start that was already handled.
func (s *State) repeatAnswer(from messenger.Incarnation, r *record) {
	switch r.state {
	case messenger.RecordFinished:
		s.sendFinished(from, r)
	case messenger.RecordTombstoned:
		s.send(from, messenger.Refused{
			Task: r.task, Attempt: r.attempt, Reason: messenger.RefusedTombstone,
			NeverStarted: r.neverStarted(), Load: s.shortLoad(from),
		})
	case messenger.RecordQueued, messenger.RecordRunning:
		// The answer is sent when the task ends.
	}
}

func (s *State) refusal(m messenger.Start) (messenger.RefusalReason, bool) {
	if s.fenced[m.Owner] != nil {
		return messenger.RefusedFenced, true
	}
	if reason, blocked := s.blocked(); blocked {
		return reason, true
	}
	sent, ok := s.sentTime(m.ReportSequence)
	if !ok || s.now.Sub(sent) > s.settings.StartFreshness || s.mayHaveForgotten(m.ReportSequence, m.Volatile) {
		return messenger.RefusedStale, true
	}
	if m.TimeLeft <= 0 {
		return messenger.RefusedExpired, true
	}
	if s.suspects(m) {
		return messenger.RefusedSuspect, true
	}
	if !s.fits(m.Size) && (m.NoQueue || s.queueFull(m.Size)) {
		return messenger.RefusedQueueFull, true
	}
	return "", false
}

// queueFull reports whether a task of the given size would wait too long in the queue,
// judged by the number of queued tasks and their share of the endpoint's capacity.
func (s *State) queueFull(size messenger.Resources) bool {
	if len(s.queue) >= s.settings.QueueLimit {
		return true
	}
	if s.settings.QueueShare == 0 || s.endpoint.Capacity.IsZero() || len(s.queue) == 0 {
		return false
	}
	allowed := s.settings.QueueShare * float64(s.endpoint.Capacity.MilliCPU)
	return float64(s.waiting.MilliCPU+size.MilliCPU) > allowed
}

func (s *State) refuse(to messenger.Incarnation, m messenger.Start, reason messenger.RefusalReason, proven bool) {
	doubt := s.doubt(proven, m.ReportSequence, m.Volatile)
	if reason == messenger.RefusedIncarnation {
		doubt = DoubtIncarnation
	}
	s.emitDecision(Decision{Task: m.Task, Attempt: m.Attempt, Owner: m.Owner, Reason: reason, Size: m.Size, Doubt: doubt})
	s.send(to, messenger.Refused{
		Task: m.Task, Attempt: m.Attempt, Reason: reason, NeverStarted: proven, Load: s.shortLoad(to),
	})
}

// emitDecision emits a decision for the log, with the endpoint's usage at that time.
func (s *State) emitDecision(d Decision) {
	d.Taken, d.Capacity = s.taken, s.endpoint.Capacity
	s.emit(d)
}

// refuseWithTombstone refuses a start and records a tombstone, so that the attempt is
// guaranteed not to start here from now on.
func (s *State) refuseWithTombstone(to messenger.Incarnation, m messenger.Start, reason messenger.RefusalReason) {
	proven := s.provesNeverStarted(m)
	s.tombstone(s.newRecord(m), proven)
	s.refuse(to, m, reason, proven)
}

// tombstone marks a record's attempt as one that never starts from now on. Proven is true if
// it has certainly not started before either.
func (s *State) tombstone(r *record, proven bool) {
	r.state = messenger.RecordTombstoned
	r.proven = proven
	r.stoppedByFence = proven && s.fenced[r.owner] != nil && !r.repeatable
	r.payload = nil
}

func (s *State) newRecord(m messenger.Start) *record {
	r := &record{
		task:       m.Task,
		attempt:    m.Attempt,
		owner:      m.Owner,
		repeatable: m.Repeatable,
		priority:   m.Priority,
		payload:    m.Payload,
		expected:   m.ExpectedRunTime,
		deadline:   s.now.Add(m.TimeLeft),
		volatile:   m.Volatile,
		size:       m.Size,
		position:   m.Position,
		receivedAt: s.now,
	}
	if earlier := s.records[m.Task]; earlier != nil {
		r.inherit(earlier)
	}
	s.storeRecord(r)
	return r
}

func (s *State) storeRecord(r *record) {
	r.keepUntil = s.now.Add(s.recordRetention())
	if r.volatile {
		r.keepUntil = s.now.Add(volatileRetention)
	}
	s.records[r.task] = r
	s.expiring = append(s.expiring, expiry{task: r.task, at: r.keepUntil})
}

// recordRetention returns how long records are kept. The minimum also applies before
// the first settings arrive: a tombstone that expired at once would let a copy of the
// refused start through.
func (s *State) recordRetention() time.Duration {
	return max(s.settings.RecordRetention, minRecordRetention)
}

func (s *State) invoke(r *record) {
	r.state = messenger.RecordRunning
	r.startedAt = r.receivedAt
	s.emitDecision(Decision{Task: r.task, Attempt: r.attempt, Owner: r.owner, Started: true, Size: r.size})
	s.running++
	s.taken = s.taken.Add(r.size)
	if r.volatile {
		s.live[runKey{task: r.task, run: r.run}] = r
	}
	s.emit(Invoke{
		Task: r.task, Attempt: r.attempt, Payload: r.payload, TimeLeft: r.deadline.Sub(s.now),
		Run: r.run, Position: r.position,
	})
	r.payload = nil
}

// enqueue queues a record behind those of the same or a higher priority.
func (s *State) enqueue(r *record) {
	r.state = messenger.RecordQueued
	at := len(s.queue)
	for at > 0 && s.queue[at-1].priority < r.priority {
		at--
	}
	s.queue = slices.Insert(s.queue, at, r)
	s.waiting = s.waiting.Add(r.size)
}

// dequeue removes a record from the queue.
func (s *State) dequeue(r *record) {
	s.queue = slices.DeleteFunc(s.queue, func(q *record) bool { return q == r })
	s.waiting = s.waiting.Sub(r.size)
}

// nextQueued returns the next queued record if the endpoint has free capacity for it,
// or nil. Records that wait for an earlier run of their task are skipped.
func (s *State) nextQueued() *record {
	for _, r := range s.queue {
		if r.predecessor != nil {
			continue
		}
		if !s.fits(r.size) {
			return nil
		}
		return r
	}
	return nil
}

func (s *State) startQueued() {
	for r := s.nextQueued(); r != nil; r = s.nextQueued() {
		s.dequeue(r)
		if reason, blocked := s.blocked(); blocked {
			s.refuseRecord(r, reason)
			continue
		}
		if !r.deadline.After(s.now) {
			s.refuseRecord(r, messenger.RefusedExpired)
			continue
		}
		s.invoke(r)
	}
}

// refuseQueue refuses all queued tasks with a guarantee that they never start here.
func (s *State) refuseQueue(reason messenger.RefusalReason) {
	queue := s.queue
	s.queue = nil
	s.waiting = messenger.Resources{}
	for _, r := range queue {
		s.refuseRecord(r, reason)
	}
}

// refuseRecord refuses a recorded task with a guarantee that its current attempt
// never starts here.
func (s *State) refuseRecord(r *record, reason messenger.RefusalReason) {
	s.tombstone(r, true)
	s.emitDecision(Decision{Task: r.task, Attempt: r.attempt, Owner: r.owner, Reason: reason, Size: r.size})
	for _, to := range s.recipients(r) {
		s.send(to, messenger.Refused{
			Task: r.task, Attempt: r.attempt, Reason: reason, NeverStarted: true, Load: s.shortLoad(to),
		})
	}
}

// recipients returns the entries that receive the answers for a record: its owner or,
// once the owner is fenced, the entries that take over the submission.
func (s *State) recipients(r *record) []messenger.Incarnation {
	if f := s.fenced[r.owner]; f != nil {
		return f.collectors[r.task.Submission]
	}
	return []messenger.Incarnation{r.owner}
}
