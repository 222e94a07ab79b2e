package gatekeeper

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Records expire, so the absence of a record does not show that an attempt has not started.
// The agent dates each start by the report that it echoes, by its own clock. A start that is
// younger than every run whose record has expired cannot be a copy of one of them.

// attemptKey identifies an attempt of a task. Each owner numbers its own attempts.
type attemptKey struct {
	owner   messenger.Incarnation
	attempt int
}

// pastAttempt is an attempt that never starts from now on. Its task has the record of another
// attempt.
type pastAttempt struct {
	attemptKey
	// neverStarted is true if the attempt is known not to have started before either.
	neverStarted bool
}

func (r *record) key() attemptKey { return attemptKey{r.owner, r.attempt} }

// pastAttempt returns what is known about an attempt other than the current one, or nil.
func (r *record) pastAttempt(key attemptKey) *pastAttempt {
	for i := range r.past {
		if r.past[i].attemptKey == key {
			return &r.past[i]
		}
	}
	return nil
}

// notePast notes that an attempt never starts from now on.
func (r *record) notePast(key attemptKey, neverStarted bool) {
	if r.pastAttempt(key) == nil {
		r.past = append(r.past, pastAttempt{attemptKey: key, neverStarted: neverStarted})
	}
}

// inherit takes over what an earlier record of the same task knows.
func (r *record) inherit(earlier *record) {
	r.past = earlier.past
	r.startedAt = earlier.startedAt
	if earlier.key() != r.key() {
		r.notePast(earlier.key(), earlier.neverStarted())
	}
}

// neverStarted reports whether the current attempt of a record has certainly not started.
func (r *record) neverStarted() bool {
	return r.state == messenger.RecordQueued || r.state == messenger.RecordTombstoned && r.proven
}

// forgotten holds the arrival times of the latest starts whose runs have no record any more.
// Stored tasks have their own, since their records are kept for longer.
type forgotten struct {
	volatile, stored time.Time
}

// forget notes that a record has expired.
func (f *forgotten) forget(r *record) {
	latest := f.of(r.volatile)
	if r.startedAt.After(*latest) {
		*latest = r.startedAt
	}
}

func (f *forgotten) of(volatile bool) *time.Time {
	if volatile {
		return &f.volatile
	}
	return &f.stored
}

// mayHaveForgotten reports whether the record of a run may have expired whose start echoed
// the report of this sequence.
func (s *State) mayHaveForgotten(sequence uint64, volatile bool) bool {
	latest := *s.forgotten.of(volatile)
	if latest.IsZero() {
		return false
	}
	sent, dated := s.sentTime(sequence)
	return !dated || !sent.After(latest)
}

// doubt returns why an attempt is not proven not to have started; empty if it is.
func (s *State) doubt(proven bool, sequence uint64, volatile bool) Doubt {
	switch {
	case proven:
		return ""
	case s.mayHaveForgotten(sequence, volatile):
		return DoubtForgotten
	}
	return DoubtRecorded
}

// provesNeverStarted reports whether it is certain that the attempt of a start has not started
// here.
func (s *State) provesNeverStarted(m messenger.Start) bool {
	return s.isUnstarted(m.Task, attemptKey{m.Owner, m.Attempt}, m.ReportSequence, m.Volatile)
}

// isUnstarted reports whether it is certain that an attempt, whose start echoed the report of
// this sequence, has not started here.
func (s *State) isUnstarted(task messenger.TaskKey, key attemptKey, sequence uint64, volatile bool) bool {
	if r := s.records[task]; r != nil {
		if r.key() == key {
			return r.neverStarted()
		}
		if past := r.pastAttempt(key); past != nil {
			return past.neverStarted
		}
	}
	return !s.mayHaveForgotten(sequence, volatile)
}
