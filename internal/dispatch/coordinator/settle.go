package coordinator

import (
	"slices"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// witnessCount is how many agents keep an outcome while the store does not
// answer. Two in different failure domains survive the loss of one.
const witnessCount = 2

// settle computes the outcome and asks for its row.
func (s *State) settle(j *job) {
	step(j.lifeCycle, eventFinish)
	s.setPending(j, false)
	j.settlingAt = s.now
	j.outcome = outcomeOf(j)
	if j.submission.Volatile {
		s.settleVolatile(j)
		return
	}
	s.settling = append(s.settling, j)
	s.emit(CommitOutcome{Outcome: j.outcome})
	if s.storeDown {
		s.requestWitnesses(j)
	}
}

func outcomeOf(j *job) messenger.Outcome {
	outcome := messenger.Outcome{
		Key:    j.submission.Key,
		Status: messenger.OutcomeComplete,
		Digest: j.submission.Digest,
		Tasks:  make([]messenger.TaskOutcome, len(j.tasks)),
	}
	for i := range j.tasks {
		outcome.Tasks[i] = j.tasks[i].outcome
		if j.tasks[i].outcome.State != messenger.TaskSucceeded {
			outcome.Status = messenger.OutcomeFailed
		}
	}
	if j.failure != "" {
		return failedOutcome(outcome, j.failure)
	}
	if outcome.Status == messenger.OutcomeFailed {
		outcome.Reason = j.stopReason
		dropResults(outcome.Tasks)
	}
	return outcome
}

// dropResults makes the answer of a failed job whole: it holds states and
// reasons, never some of the results.
func dropResults(tasks []messenger.TaskOutcome) {
	for i := range tasks {
		tasks[i].Result = nil
	}
}

// outcomeSettled tells the row in force, whoever has written it.
func (s *State) outcomeSettled(e OutcomeSettled) {
	if e.Refused != "" {
		s.outcomeRefused(e)
		return
	}
	j := s.jobs[e.Key]
	if e.Failed || e.Outcome == nil {
		s.storeDown = true
		if j != nil && j.lifeCycle.Is(jobSettling) {
			s.requestWitnesses(j)
		}
		return
	}
	s.storeDown = false
	s.storeAnsweredAt = s.now
	if j == nil {
		s.remoteSettled(e.Key, *e.Outcome)
		return
	}
	if !j.lifeCycle.Is(jobSettling) {
		return
	}
	if j.told && j.outcome.Status != e.Outcome.Status {
		s.emit(Decision{
			Kind: DecisionGiveUp, Submission: e.Key,
			Reason: "the outcome row differs from the outcome that was told through witnesses",
		})
	}
	if !j.told {
		j.outcome = *e.Outcome
	}
	step(j.lifeCycle, eventSettle)
	j.settledAt = s.now
	// The next tick takes settled jobs out of the list together: after an outage
	// there may be tens of thousands, and each search would go through all of them.
	s.settlingStale = true
	s.settled = append(s.settled, j)
	s.answerWaiters(j)
}

// answerWaiters answers all waiters of a job once.
func (s *State) answerWaiters(j *job) {
	if !j.told {
		j.told = true
		if j.outcome.Status == messenger.OutcomeComplete {
			s.counters.Complete++
		} else {
			s.counters.Failed++
		}
	}
	for _, w := range j.waiters {
		s.reply(w, OutcomeAnswer{Outcome: j.outcome})
	}
	j.waiters = nil
}

// settlingTick asks for witnesses when the store takes long, and forgets jobs
// that were settled long ago.
func (s *State) settlingTick() {
	if s.settlingStale {
		s.settlingStale = false
		s.settling = slices.DeleteFunc(s.settling, func(j *job) bool { return !j.settledAt.IsZero() })
	}
	for _, j := range s.settling {
		if s.now.Sub(j.settlingAt) >= s.Config.OutcomePatience {
			s.storeDown = true
			s.requestWitnesses(j)
		}
	}
	for len(s.settled) > 0 && s.now.Sub(s.settled[0].settledAt) >= s.Config.OutcomeCache {
		s.evict(s.settled[0])
		// The array outlives the slice of it and would keep the job alive.
		s.settled[0] = nil
		s.settled = s.settled[1:]
	}
}

// evict forgets a settled job. Attempts that were given up release their slots.
func (s *State) evict(j *job) {
	for i := range j.tasks {
		s.releaseCopies(&j.tasks[i])
	}
	s.removeJob(j)
}

// requestWitnesses asks agents to keep the outcome, so that it can be told before
// the store has it. It is asked again while too few have accepted.
func (s *State) requestWitnesses(j *job) {
	// Witnesses may still hold the outcome that the table has refused.
	if j.told || j.rowRefused || len(j.witnesses) >= witnessCount || !s.mayTellThroughWitnesses() {
		return
	}
	for _, a := range s.chooseWitnesses(j) {
		j.witnesses = append(j.witnesses, a.incarnation)
		s.sendWitness(j, a)
	}
}

func (s *State) sendWitness(j *job, a *agent) {
	s.counters.WitnessCalls++
	s.send(a.incarnation, messenger.Witness{Owner: s.Config.Incarnation, Outcome: j.outcome})
}

// resendWitnesses repeats what was asked over a link that has failed.
func (s *State) resendWitnesses(a *agent) {
	for _, j := range s.settling {
		if !j.told && slices.Contains(j.witnesses, a.incarnation) && !slices.Contains(j.accepted, a.incarnation) {
			s.sendWitness(j, a)
		}
	}
}

// witnessLost forgets a witness that is gone with what it kept.
func (s *State) witnessLost(incarnation messenger.Incarnation) {
	is := func(x messenger.Incarnation) bool { return x == incarnation }
	for _, j := range s.settling {
		j.witnesses = slices.DeleteFunc(j.witnesses, is)
		j.accepted = slices.DeleteFunc(j.accepted, is)
	}
}

// chooseWitnesses picks agents that are heard, in failure domains that differ
// where there are two; the arrival number spreads the choice.
func (s *State) chooseWitnesses(j *job) []*agent {
	wanted := witnessCount - len(j.witnesses)
	var chosen []*agent
	var spare *agent
	for i := range s.sortedAgents {
		a := s.sortedAgents[(i+int(j.arrival%uint64(len(s.sortedAgents))))%len(s.sortedAgents)]
		switch {
		case a.silent || slices.Contains(j.witnesses, a.incarnation):
			continue
		case len(chosen) == 0 || a.hello.FailureDomain != chosen[0].hello.FailureDomain:
			chosen = append(chosen, a)
		case spare == nil:
			spare = a
		}
		// The search ends early, so that its cost does not grow with the agents.
		if len(chosen) == wanted {
			return chosen
		}
	}
	if spare != nil {
		chosen = append(chosen, spare)
	}
	return chosen
}

// witnessed tells the outcome once enough agents keep it.
func (s *State) witnessed(from messenger.Incarnation, m messenger.Witnessed) {
	j := s.jobs[m.Key]
	if j == nil || j.rowRefused || !j.lifeCycle.Is(jobSettling) || !slices.Contains(j.witnesses, from) {
		return
	}
	if !m.Accepted {
		s.suspend()
		return
	}
	if !slices.Contains(j.accepted, from) {
		j.accepted = append(j.accepted, from)
	}
	if len(j.accepted) >= witnessCount && !s.leaseUnverified && s.mayTellThroughWitnesses() {
		s.answerWaiters(j)
	}
}
