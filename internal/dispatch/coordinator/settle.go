package coordinator

import (
	"slices"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// witnessCount is how many agents keep an outcome while the store does not answer. Two
// witnesses in different failure domains survive the loss of one domain.
const witnessCount = 2

// settle computes the outcome of a job and requests the write of its row.
func (s *State) settle(j *job) {
	transition(j.lifeCycle, eventFinish)
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
	if j.failureReason != "" {
		return failedOutcome(outcome, j.failureReason)
	}
	if outcome.Status == messenger.OutcomeFailed {
		outcome.Reason = j.stopReason
		dropResults(outcome.Tasks)
	}
	return outcome
}

// dropResults removes the results from the answer of a failed job: the answer holds
// states and reasons, never a part of the results.
func dropResults(tasks []messenger.TaskOutcome) {
	for i := range tasks {
		tasks[i].Result = nil
	}
}

// outcomeSettled answers the waiters with the stored outcome row, whichever entry has
// written it.
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
	if j.answered && j.outcome.Status != e.Outcome.Status {
		s.emit(Decision{
			Kind: DecisionGiveUp, Submission: e.Key,
			Reason: "the outcome row differs from the outcome that was told through witnesses",
		})
	}
	if !j.answered {
		j.outcome = *e.Outcome
	}
	transition(j.lifeCycle, eventSettle)
	j.settledAt = s.now
	// The next tick removes all settled jobs from the list in one pass. After an
	// outage there may be tens of thousands, and removing one scans the whole list.
	s.settlingStale = true
	s.settled = append(s.settled, j)
	s.answerWaiters(j)
}

// answerWaiters sends the outcome to all waiters of a job and clears them. A job is
// counted as complete or failed only once.
func (s *State) answerWaiters(j *job) {
	if !j.answered {
		j.answered = true
		if j.outcome.Status == messenger.OutcomeComplete {
			s.counters.Complete++
			if j.late != nil {
				s.counters.AnsweredLate++
			}
		} else {
			s.counters.Failed++
		}
	}
	for _, w := range j.waiters {
		s.reply(w, OutcomeAnswer{Outcome: j.outcome})
	}
	j.waiters = nil
}

// settlingTick requests witnesses for outcomes that the store has not confirmed in
// time, and evicts settled jobs after the outcome retention.
func (s *State) settlingTick() {
	if s.settlingStale {
		s.settlingStale = false
		s.settling = slices.DeleteFunc(s.settling, func(j *job) bool { return !j.settledAt.IsZero() })
	}
	for _, j := range s.settling {
		if s.now.Sub(j.settlingAt) >= s.Config.OutcomeWriteTimeout {
			s.storeDown = true
			s.requestWitnesses(j)
		}
	}
	for len(s.settled) > 0 && s.now.Sub(s.settled[0].settledAt) >= s.Config.OutcomeRetention {
		s.evict(s.settled[0])
		// The backing array would keep the job from being garbage collected.
		s.settled[0] = nil
		s.settled = s.settled[1:]
	}
}

// evict removes a settled job and releases the slots of its unanswered attempts.
func (s *State) evict(j *job) {
	for i := range j.tasks {
		s.releaseCopies(&j.tasks[i])
	}
	if j.submission.Volatile {
		s.rememberAttempts(j)
	}
	s.removeJob(j)
}

// requestWitnesses asks agents to keep the outcome, so that waiters can be answered
// before the store has it. Each call asks further agents while fewer than
// witnessCount have been asked.
func (s *State) requestWitnesses(j *job) {
	// Witnesses may still hold the outcome that the table has rejected.
	if j.answered || j.rowRefused || len(j.witnesses) >= witnessCount || !s.mayAnswerFromWitnesses() {
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

// resendWitnesses repeats the unanswered witness requests to an agent after its link
// was re-established.
func (s *State) resendWitnesses(a *agent) {
	for _, j := range s.settling {
		if !j.answered && slices.Contains(j.witnesses, a.incarnation) && !slices.Contains(j.accepted, a.incarnation) {
			s.sendWitness(j, a)
		}
	}
}

// witnessLost removes a lost agent from the witnesses of all unsettled jobs.
func (s *State) witnessLost(incarnation messenger.Incarnation) {
	is := func(x messenger.Incarnation) bool { return x == incarnation }
	for _, j := range s.settling {
		j.witnesses = slices.DeleteFunc(j.witnesses, is)
		j.accepted = slices.DeleteFunc(j.accepted, is)
	}
}

// chooseWitnesses picks agents that are not silent, in different failure domains where
// there are two. The job's arrival number spreads the choice over the agents.
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
		// Stopping early keeps the cost independent of the number of agents.
		if len(chosen) == wanted {
			return chosen
		}
	}
	if spare != nil {
		chosen = append(chosen, spare)
	}
	return chosen
}

// witnessed answers the waiters once enough agents keep the outcome.
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
	if len(j.accepted) >= witnessCount && !s.leaseUnverified && s.mayAnswerFromWitnesses() {
		s.answerWaiters(j)
	}
}
