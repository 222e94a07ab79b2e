package gatekeeper

import (
	"slices"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// fence rejects all further starts of a replaced entry, tombstones its queued tasks and
// returns the records of the requested submissions.
func (s *State) fence(from messenger.Incarnation, m messenger.Fence) {
	f := s.fenced[m.Owner]
	if f == nil {
		f = &fence{at: s.now, collectors: make(map[messenger.SubmissionKey][]messenger.Incarnation)}
		s.fenced[m.Owner] = f
	}
	for _, key := range m.Submissions {
		f.collect(key, from)
	}
	s.tombstoneQueued(m.Owner)
	s.sendFenced(from, m)
}

// collect registers an entry for the results of a submission's tasks that still run.
func (f *fence) collect(key messenger.SubmissionKey, from messenger.Incarnation) {
	if !slices.Contains(f.collectors[key], from) {
		f.collectors[key] = append(f.collectors[key], from)
	}
}

func (s *State) tombstoneQueued(owner messenger.Incarnation) {
	kept := s.queue[:0]
	for _, r := range s.queue {
		if r.owner != owner {
			kept = append(kept, r)
			continue
		}
		s.waiting = s.waiting.Sub(r.size)
		s.tombstone(r, true)
	}
	s.queue = kept
}

func (s *State) sendFenced(to messenger.Incarnation, m messenger.Fence) {
	records := s.recordsOf(m)
	for len(records) > maxRecordsPerPart {
		s.send(to, messenger.Fenced{Owner: m.Owner, Round: m.Round, Records: records[:maxRecordsPerPart]})
		records = records[maxRecordsPerPart:]
	}
	s.send(to, messenger.Fenced{
		Owner: m.Owner, Round: m.Round, Records: records, Witnessed: s.witnessedOf(m), Last: true,
	})
}

// recordsOf looks up each possible task of the requested submissions, so the cost
// depends on the size of the request and not on the number of records.
func (s *State) recordsOf(m messenger.Fence) []messenger.Record {
	var records []messenger.Record
	for _, key := range m.Submissions {
		for index := range messenger.MaxTasks {
			r := s.records[messenger.TaskKey{Submission: key, Index: index}]
			if r == nil || r.owner != m.Owner {
				continue
			}
			records = append(records, messenger.Record{
				Task: r.task, Attempt: r.attempt, State: r.state, Outcome: r.outcome,
				StoppedByFence: r.stoppedByFence,
			})
		}
	}
	return records
}

func (s *State) witnessedOf(m messenger.Fence) []messenger.Outcome {
	var outcomes []messenger.Outcome
	for _, key := range m.Submissions {
		if w, ok := s.witnessed[key]; ok && w.owner == m.Owner {
			outcomes = append(outcomes, w.outcome)
		}
	}
	return outcomes
}

// witness stores an outcome for an entry that cannot reach the table service. It is
// not accepted from a fenced owner, which may no longer decide outcomes.
func (s *State) witness(from messenger.Incarnation, m messenger.Witness) {
	if s.fenced[m.Owner] != nil {
		s.send(from, messenger.Witnessed{Key: m.Outcome.Key})
		return
	}
	s.witnessed[m.Outcome.Key] = witness{owner: m.Owner, outcome: m.Outcome, at: s.now}
	s.send(from, messenger.Witnessed{Key: m.Outcome.Key, Accepted: true})
}
