package coordinator

import (
	"slices"
	"strings"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// remote is a submission that another incarnation owns and whose outcome a caller or
// peer awaits from this entry.
type remote struct {
	row        IntentRow
	submission *messenger.Submission
	waiters    []waiter
	call       uint64
	startedAt  time.Time
	// takenOver is true once the submission is part of the owner's takeover.
	takenOver bool
	// collectedAt is when all agents had answered or the wait for them timed out;
	// zero before that.
	collectedAt time.Time
	// settling is true once the write of the outcome row has been requested.
	settling bool
	// rowRefused is true once the table has rejected the outcome row permanently.
	rowRefused bool
}

func (r *remote) digest() string {
	if r.submission == nil {
		return ""
	}
	return r.submission.Digest
}

// takeoverPhase is the phase of a takeover: waiting for the owner's lease to lapse,
// fencing the owner's row, or collecting records from the agents.
type takeoverPhase uint8

const (
	takeoverWaiting takeoverPhase = iota
	takeoverFencing
	takeoverCollecting
)

// takeover replaces one dead entry incarnation. One fence covers all its jobs.
type takeover struct {
	owner     messenger.Incarnation
	phase     takeoverPhase
	startedAt time.Time
	// round counts the rounds of fence messages to the agents. Each round requests
	// the records of the submissions that are awaited when it starts and have not
	// been collected.
	round     int
	roundAt   time.Time
	requested []*remote
	// replaced is true if the owner's row is missing or belongs to a later
	// incarnation of the same process. The owner then no longer runs.
	replaced  bool
	awaiting  map[messenger.Incarnation]bool
	records   map[messenger.SubmissionKey]map[int]agentRecord
	witnessed map[messenger.SubmissionKey]messenger.Outcome
}

// agentRecord is a record and the agent that holds it.
type agentRecord struct {
	messenger.Record
	agent messenger.Incarnation
}

func (s *State) addRemote(row IntentRow, submission *messenger.Submission, waiters []waiter) {
	r := &remote{row: row, submission: submission, startedAt: s.now}
	s.remotes[row.Key] = r
	for _, w := range waiters {
		s.joinRemote(w, r, "")
	}
	if s.reachable(row.Owner) {
		s.forward(r)
		return
	}
	s.takeOver(r)
}

func (s *State) joinRemote(w waiter, r *remote, digest string) {
	if digest != "" && r.row.Digest != "" && digest != r.row.Digest {
		s.replyConflict(w, r.row.Key)
		return
	}
	if !w.wait {
		s.replyInProgress(w)
		return
	}
	r.waiters = append(r.waiters, w)
}

func (s *State) sortedRemotes() []*remote {
	remotes := make([]*remote, 0, len(s.remotes))
	for _, r := range s.remotes {
		remotes = append(remotes, r)
	}
	slices.SortFunc(remotes, func(a, b *remote) int {
		return strings.Compare(a.row.Key.String(), b.row.Key.String())
	})
	return remotes
}

func (s *State) sortedTakeovers() []*takeover {
	if len(s.takeovers) == 0 {
		return nil
	}
	takeovers := make([]*takeover, 0, len(s.takeovers))
	for _, t := range s.takeovers {
		takeovers = append(takeovers, t)
	}
	slices.SortFunc(takeovers, func(a, b *takeover) int { return strings.Compare(string(a.owner), string(b.owner)) })
	return takeovers
}

// takeOver starts or joins the replacement of a remote's owner.
func (s *State) takeOver(r *remote) {
	if s.takeovers[r.row.Owner] == nil {
		s.takeovers[r.row.Owner] = &takeover{
			owner:     r.row.Owner,
			startedAt: s.now,
			awaiting:  make(map[messenger.Incarnation]bool),
			records:   make(map[messenger.SubmissionKey]map[int]agentRecord),
			witnessed: make(map[messenger.SubmissionKey]messenger.Outcome),
		}
	}
	s.advanceTakeovers()
}

// watchRemotes takes over from unreachable owners. The waiters of a remote submission
// are answered with outcome_unknown once the submission has been awaited for longer than
// its deadline (at least GoneAfter), CollectTimeout and two entry leases together.
func (s *State) watchRemotes() {
	for _, r := range s.sortedRemotes() {
		if !r.takenOver && !s.reachable(r.row.Owner) {
			s.takeOver(r)
		}
		limit := max(r.row.Deadline, s.Config.GoneAfter) + s.Config.CollectTimeout + 2*s.Config.EntryLease
		if s.now.Sub(r.startedAt) > limit && len(r.waiters) > 0 {
			s.refuseWaiters(r)
		}
	}
	s.advanceTakeovers()
	s.dropTakeovers()
}

func (s *State) refuseWaiters(r *remote) {
	for _, w := range r.waiters {
		s.replyRefusal(w, r.row.Key, messenger.CodeOutcomeUnknown,
			"the owner cannot be reached and cannot be replaced yet; this attempt started nothing")
	}
	r.waiters = nil
	if !r.settling {
		delete(s.remotes, r.row.Key)
	}
}

func (s *State) advanceTakeovers() {
	for _, t := range s.sortedTakeovers() {
		if t.phase == takeoverWaiting {
			s.advanceWaiting(t)
		}
		if t.phase == takeoverCollecting {
			s.concludeTakeover(t)
		}
	}
}

// advanceWaiting fences the owner's row once its lease has lapsed. It does so only after
// a read of the directory since the start of the takeover. If that read shows that the
// row is already fenced, is missing or belongs to another incarnation, no fence is
// needed and the records are collected at once.
func (s *State) advanceWaiting(t *takeover) {
	if s.reachable(t.owner) {
		return
	}
	if !s.renewedAt.After(t.startedAt) {
		return
	}
	t.replaced = !s.listed(t.owner)
	for _, row := range s.directory {
		if row.Incarnation != t.owner || row.Fenced {
			continue
		}
		if s.unchangedFor(row) >= s.Config.EntryLease {
			t.phase = takeoverFencing
			s.emit(FenceEntry{Row: row})
		}
		return
	}
	s.collect(t)
}

func (s *State) entryFenced(e EntryFenced) {
	t := s.takeovers[e.Owner]
	if t == nil || t.phase != takeoverFencing {
		return
	}
	if e.Failed || e.Alive {
		t.phase = takeoverWaiting
		return
	}
	s.collect(t)
}

// collect fences the owner at all agents and requests their records.
func (s *State) collect(t *takeover) {
	t.phase = takeoverCollecting
	s.counters.Takeovers++
	s.emit(Decision{Kind: DecisionTakeover, Endpoint: string(t.owner), Reason: "the owner's lease has lapsed"})
	s.startRound(t)
	s.concludeTakeover(t)
}

// startRound requests from all agents the records of the submissions that have not
// been collected yet.
func (s *State) startRound(t *takeover) {
	t.round++
	t.roundAt = s.now
	t.requested = nil
	for _, r := range s.sortedRemotes() {
		if r.row.Owner == t.owner && r.collectedAt.IsZero() {
			r.takenOver = true
			t.requested = append(t.requested, r)
		}
	}
	for _, a := range s.sortedAgents {
		s.fenceAgent(t, a)
	}
}

func (s *State) fenceAgent(t *takeover, a *agent) {
	if t.phase != takeoverCollecting {
		return
	}
	t.awaiting[a.incarnation] = true
	s.send(a.incarnation, t.fence())
}

func (t *takeover) fence() messenger.Fence {
	m := messenger.Fence{Owner: t.owner, Round: t.round}
	for _, r := range t.requested {
		m.Submissions = append(m.Submissions, r.row.Key)
	}
	return m
}

func (s *State) fenced(from messenger.Incarnation, m messenger.Fenced) {
	t := s.takeovers[m.Owner]
	if t == nil {
		return
	}
	for _, record := range m.Records {
		t.mergeRecord(from, record)
	}
	for _, outcome := range m.Witnessed {
		t.witnessed[outcome.Key] = outcome
	}
	if m.Last && m.Round == t.round {
		delete(t.awaiting, from)
		s.concludeTakeover(t)
	}
}

// mergeRecord keeps the record with the highest evidence rank for each task: a start
// outranks a tombstone of another attempt.
func (t *takeover) mergeRecord(from messenger.Incarnation, record messenger.Record) {
	tasks := t.records[record.Task.Submission]
	if tasks == nil {
		tasks = make(map[int]agentRecord)
		t.records[record.Task.Submission] = tasks
	}
	known, ok := tasks[record.Task.Index]
	if !ok || evidenceRank(record) > evidenceRank(known.Record) {
		tasks[record.Task.Index] = agentRecord{Record: record, agent: from}
	}
}

// evidenceRank orders records by how much they prove about the task's outcome.
func evidenceRank(r messenger.Record) int {
	switch r.State {
	case messenger.RecordFinished:
		if r.Outcome.State == messenger.TaskSucceeded {
			return 4
		}
		return 3
	case messenger.RecordRunning:
		return 2
	case messenger.RecordQueued:
		return 1
	case messenger.RecordTombstoned:
		if r.StoppedByFence {
			return 1
		}
	}
	return 0
}

// collectFinished merges the result of a task whose owner was replaced.
func (s *State) collectFinished(from messenger.Incarnation, m messenger.Finished) {
	for _, t := range s.sortedTakeovers() {
		if _, ok := t.records[m.Task.Submission][m.Task.Index]; ok {
			t.mergeRecord(from, messenger.Record{
				Task: m.Task, Attempt: m.Attempt, State: messenger.RecordFinished, Outcome: m.Outcome,
			})
			s.concludeTakeover(t)
		}
	}
}

// collectRefused handles the proof that a task of a replaced owner did not start.
func (s *State) collectRefused(from messenger.Incarnation, m messenger.Refused) {
	for _, t := range s.sortedTakeovers() {
		held, ok := t.records[m.Task.Submission][m.Task.Index]
		if ok && m.NeverStarted && held.agent == from && held.Attempt == m.Attempt {
			held.State = messenger.RecordTombstoned
			t.records[m.Task.Submission][m.Task.Index] = held
			s.concludeTakeover(t)
		}
	}
}

// agentLost stops waiting for a lost agent. Tasks that it was running are recorded as
// may_have_run.
func (s *State) agentLost(t *takeover, incarnation messenger.Incarnation) {
	delete(t.awaiting, incarnation)
	for _, tasks := range t.records {
		for index, held := range tasks {
			if held.agent == incarnation && held.State == messenger.RecordRunning {
				held.State = messenger.RecordFinished
				held.Outcome = messenger.TaskOutcome{
					State: messenger.TaskMayHaveRun, Reason: "the agent was lost while the task ran",
				}
				tasks[index] = held
			}
		}
	}
	if t.phase == takeoverCollecting {
		s.concludeTakeover(t)
	}
}
