package gatekeeper

import (
	"slices"
	"strings"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// fence shuts out a replaced entry and returns what this agent holds for it.
func (s *State) fence(from messenger.Incarnation, m messenger.Fence) {
	f := s.fenced[m.Owner]
	if f == nil {
		f = &fence{at: s.now}
		s.fenced[m.Owner] = f
	}
	if !slices.Contains(f.collectors, from) {
		f.collectors = append(f.collectors, from)
	}
	s.tombstoneQueued(m.Owner)
	s.sendFenced(from, m.Owner)
}

func (s *State) tombstoneQueued(owner messenger.Incarnation) {
	kept := s.queue[:0]
	for _, r := range s.queue {
		if r.owner != owner {
			kept = append(kept, r)
			continue
		}
		r.state = messenger.RecordTombstoned
		r.stoppedByFence = !r.repeatable
		r.payload = nil
	}
	s.queue = kept
}

func (s *State) sendFenced(to, owner messenger.Incarnation) {
	records := s.recordsOf(owner)
	for len(records) > maxRecordsPerPart {
		s.send(to, messenger.Fenced{Owner: owner, Records: records[:maxRecordsPerPart]})
		records = records[maxRecordsPerPart:]
	}
	s.send(to, messenger.Fenced{
		Owner: owner, Records: records, Witnessed: s.witnessedOf(owner), Last: true,
	})
}

func (s *State) recordsOf(owner messenger.Incarnation) []messenger.Record {
	var records []messenger.Record
	for _, r := range s.records {
		if r.owner == owner {
			records = append(records, messenger.Record{
				Task: r.task, Attempt: r.attempt, State: r.state, Outcome: r.outcome,
				StoppedByFence: r.stoppedByFence,
			})
		}
	}
	slices.SortFunc(records, func(a, b messenger.Record) int {
		if c := compareKeys(a.Task.Submission, b.Task.Submission); c != 0 {
			return c
		}
		return a.Task.Index - b.Task.Index
	})
	return records
}

func (s *State) witnessedOf(owner messenger.Incarnation) []messenger.Outcome {
	var outcomes []messenger.Outcome
	for _, w := range s.witnessed {
		if w.owner == owner {
			outcomes = append(outcomes, w.outcome)
		}
	}
	slices.SortFunc(outcomes, func(a, b messenger.Outcome) int { return compareKeys(a.Key, b.Key) })
	return outcomes
}

// witness keeps an outcome while the store does not answer. A fenced owner may
// not decide an outcome any more.
func (s *State) witness(from messenger.Incarnation, m messenger.Witness) {
	if s.fenced[m.Owner] != nil {
		s.send(from, messenger.Witnessed{Key: m.Outcome.Key})
		return
	}
	s.witnessed[m.Outcome.Key] = witness{owner: m.Owner, outcome: m.Outcome, at: s.now}
	s.send(from, messenger.Witnessed{Key: m.Outcome.Key, Accepted: true})
}

func compareKeys(a, b messenger.SubmissionKey) int {
	return strings.Compare(a.String(), b.String())
}
