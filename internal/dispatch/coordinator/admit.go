package coordinator

import (
	"fmt"
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/placer"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// lookup is a call that waits for a read of a submission's rows.
type lookup struct {
	waiter     waiter
	submission messenger.Submission
	// query is true if the call has no body to compare with the digest of a row.
	query bool
	// cancel is true if the submission's owner is to cancel it.
	cancel bool
	// refusal is the answer if the rows show no earlier attempt.
	refusal messenger.Refusal
}

// submit handles a submission received from a caller or a peer.
func (s *State) submit(w waiter, submission messenger.Submission) {
	s.counters.Submitted++
	key := submission.Key
	if j := s.jobs[key]; j != nil && j.givenUp {
		j.successors = append(j.successors, successor{waiter: w, submission: submission})
		return
	}
	if j := s.jobs[key]; j != nil {
		s.attach(w, j, submission.Digest)
		return
	}
	if submission.Volatile {
		s.submitVolatile(w, submission)
		return
	}
	if r := s.remotes[key]; r != nil {
		s.joinRemote(w, r, submission.Digest)
		return
	}
	if !s.lifeCycle.Is(entryActive) {
		s.refuseAfterRead(w, submission, messenger.CodeNotRun, "this entry is "+s.lifeCycle.Current())
		return
	}
	settings, refusal, known := s.checkAdmission(w, &submission)
	switch {
	case !known:
	case refusal.Code != "":
		s.refuseAfterRead(w, submission, refusal.Code, refusal.Reason)
	default:
		s.admit(w, submission, settings)
	}
}

// checkAdmission sets the default deadline of a submission and returns the settings
// that apply to the submission, and the refusal if it cannot be admitted now. For an
// unknown service, checkAdmission sends the refusal itself and returns false.
func (s *State) checkAdmission(w waiter, submission *messenger.Submission) (resolver.Resolved, messenger.Refusal, bool) {
	settings, ok := s.tree.ResolveAdmission(submission.Key.Firm, submission.Key.Service)
	if !ok {
		s.replyRefusal(w, submission.Key, messenger.CodeNotFound, "no such service")
		return settings, messenger.Refusal{}, false
	}
	if submission.Deadline == 0 {
		submission.Deadline = time.Duration(settings.DefaultDeadline)
	}
	refusal, _ := s.validate(*submission, settings)
	return settings, refusal, true
}

// admit starts a submission whose id is a ticket of this entry, hands tickets of other
// entries to submitForeignTicket, and commits an intent row for all other ids.
func (s *State) admit(w waiter, submission messenger.Submission, settings resolver.Resolved) {
	owner, isTicket := TicketOwner(submission.Key.ID)
	if isTicket && owner != s.Config.Incarnation {
		s.submitForeignTicket(w, submission, owner)
		return
	}
	if isTicket {
		s.submitTicket(w, submission, settings)
		return
	}
	j := s.newJob(submission, settings)
	j.waiters = append(j.waiters, w)
	s.emit(CommitIntent{Row: IntentRow{
		Key:      submission.Key,
		Owner:    s.Config.Incarnation,
		Digest:   submission.Digest,
		Tasks:    len(submission.Tasks),
		Deadline: submission.Deadline,
	}})
}

// validate reports whether a submission must be refused now, and the refusal.
func (s *State) validate(submission messenger.Submission, settings resolver.Resolved) (messenger.Refusal, bool) {
	never := func(format string, args ...any) (messenger.Refusal, bool) {
		return messenger.Refusal{Code: messenger.CodeNeverRunnable, Reason: fmt.Sprintf(format, args...)}, true
	}
	switch {
	case len(submission.Tasks) == 0:
		return never("no tasks")
	case len(submission.Tasks) > settings.MaxTasks:
		return never("%d tasks, the limit is %d", len(submission.Tasks), settings.MaxTasks)
	case submission.Kind == messenger.KindRequest && len(submission.Tasks) != 1:
		return never("a request has one task, not %d", len(submission.Tasks))
	case submission.Deadline < 0:
		return never("the deadline is negative")
	case submission.Deadline > time.Duration(settings.MaxDeadline):
		return never("deadline %s, the limit is %s", submission.Deadline, time.Duration(settings.MaxDeadline))
	}
	if fault := invalidStepsReason(submission); fault != "" {
		return never("%s", fault)
	}
	for i, spec := range submission.Tasks {
		if len(spec.Payload) > settings.MaxPayloadBytes {
			return never("task %d: payload of %d bytes, the limit is %d", i, len(spec.Payload), settings.MaxPayloadBytes)
		}
	}
	if refusal, refused := s.validateFit(submission); refused {
		return refusal, true
	}
	if !s.teams.MayWait(submission.Key.Firm, submission.Team, len(submission.Tasks)) {
		return messenger.Refusal{Code: messenger.CodeQuota, Reason: "too many tasks of the team are waiting"}, true
	}
	return messenger.Refusal{}, false
}

func (s *State) validateFit(submission messenger.Submission) (messenger.Refusal, bool) {
	key := submission.Key
	var previous []string
	for i, spec := range submission.Tasks {
		if i > 0 && slices.Equal(previous, spec.Labels) {
			continue
		}
		previous = spec.Labels
		switch s.index.Fit(key.Firm, key.Service, spec.Labels) {
		case placer.FitNone:
			return messenger.Refusal{Code: messenger.CodeNotRun, Reason: "no endpoint of the service is known"}, true
		case placer.FitNever:
			reason := fmt.Sprintf("task %d: no endpoint of the service offers labels %q", i, spec.Labels)
			return messenger.Refusal{Code: messenger.CodeNeverRunnable, Reason: reason}, true
		case placer.FitBlocked, placer.FitOK:
			// A blocked endpoint may become available before the deadline.
		}
	}
	return messenger.Refusal{}, false
}

// refuseAfterRead refuses a submission after reading its rows: the code "not run" would
// be wrong if an earlier attempt of the same id had run through another entry.
func (s *State) refuseAfterRead(w waiter, submission messenger.Submission, code messenger.RefusalCode, reason string) {
	s.readRows(submission.Key, lookup{
		waiter:     w,
		submission: submission,
		refusal:    messenger.Refusal{Code: code, Reason: reason},
	})
}

func (s *State) readRows(key messenger.SubmissionKey, l lookup) {
	if len(s.lookups[key]) == 0 {
		s.emit(ReadIntent{Key: key})
	}
	s.lookups[key] = append(s.lookups[key], l)
}

// attach lets a resubmission wait for the job of the same id, unless their bodies differ.
func (s *State) attach(w waiter, j *job, digest string) {
	if digest != j.submission.Digest {
		s.replyConflict(w, j.submission.Key)
		return
	}
	s.join(w, j)
}

func (s *State) replyConflict(w waiter, key messenger.SubmissionKey) {
	s.replyRefusal(w, key, messenger.CodeConflict, "the id is in use for another body")
}

func (s *State) join(w waiter, j *job) {
	switch {
	case j.unrecordedReason != "" && !j.answered:
		s.replyRefusal(w, j.submission.Key, messenger.CodeOutcomeUnknown, j.unrecordedReason)
	case j.answered || j.lifeCycle.Is(jobSettled):
		s.reply(w, OutcomeAnswer{Outcome: j.outcome})
	case w.wait:
		j.waiters = append(j.waiters, w)
	default:
		s.replyInProgress(w)
	}
}

func (s *State) replyInProgress(w waiter) {
	s.reply(w, RefusalAnswer{Refusal: messenger.Refusal{
		Code: messenger.CodeInProgress, Reason: "the submission is not settled yet",
	}})
}

// query answers with the outcome of a submission, whichever entry owns it.
func (s *State) query(w waiter, key messenger.SubmissionKey) {
	if j := s.jobs[key]; j != nil {
		s.join(w, j)
		return
	}
	if r := s.remotes[key]; r != nil {
		s.joinRemote(w, r, "")
		return
	}
	s.readRows(key, lookup{
		waiter:     w,
		submission: messenger.Submission{Key: key},
		query:      true,
		refusal:    messenger.Refusal{Code: messenger.CodeNotFound, Reason: "no such submission"},
	})
}

// callerGone removes the waiter of a call. callKeys gives the call's submission, because
// a search through all jobs would include the retained settled ones.
func (s *State) callerGone(call CallID) {
	key, waits := s.callKeys[call]
	if !waits {
		return
	}
	delete(s.callKeys, call)
	if j := s.jobs[key]; j != nil {
		j.waiters = withoutCall(j.waiters, call)
		s.giveUpWithoutWaiters(j, call)
	}
	if r := s.remotes[key]; r != nil {
		r.waiters = withoutCall(r.waiters, call)
	}
	lookups := s.lookups[key]
	for i := range lookups {
		if lookups[i].waiter.peer == "" && lookups[i].waiter.call == call {
			lookups[i].waiter.call = 0
		}
	}
}

func withoutCall(waiters []waiter, call CallID) []waiter {
	return slices.DeleteFunc(waiters, func(w waiter) bool { return w.isCall(call) })
}

// isCall reports whether a waiter is the given call of one of this entry's own callers.
func (w waiter) isCall(call CallID) bool { return w.peer == "" && w.call == call }
