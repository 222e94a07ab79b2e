package driver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// MaxSettingsDelay is the maximum time from the acceptance of a settings change until
// the change is in force at all processes.
const MaxSettingsDelay = 4 * time.Second

// MaxTakeOutDelay is the maximum time from the acceptance of a take-out of a failure
// domain until no task starts there any more.
const MaxTakeOutDelay = 3 * time.Second

// Violations checks the history of the run against the invariants that hold for every
// run, and returns one line per violation.
func (w *World) Violations() []string {
	var found []string
	found = append(found, w.doubleStarts()...)
	found = append(found, w.duplicateAnswers()...)
	found = append(found, w.wrongOutcomes()...)
	found = append(found, w.untrueNotRun()...)
	found = append(found, w.staleSettings()...)
	return found
}

// submissionOf returns the submission with the given key from the callers' calls.
func (w *World) submissionOf(key messenger.SubmissionKey) (messenger.Submission, bool) {
	for _, call := range w.Calls {
		if submitted, ok := call.Event.(coordinator.Submitted); ok && submitted.Submission.Key == key {
			return submitted.Submission, true
		}
	}
	return messenger.Submission{}, false
}

func (w *World) doubleStarts() []string {
	var found []string
	first := make(map[messenger.TaskKey]EndpointStart)
	for _, start := range w.Starts {
		earlier, ok := first[start.Task]
		if !ok {
			first[start.Task] = start
			continue
		}
		submission, _ := w.submissionOf(start.Task.Submission)
		if !submission.Repeatable {
			found = append(found, fmt.Sprintf("task %s started twice: at %s on %s and at %s on %s",
				start.Task, earlier.At, earlier.Agent, start.At, start.Agent))
		}
	}
	return found
}

func (w *World) duplicateAnswers() []string {
	var found []string
	counts := make(map[coordinator.CallID]int)
	for _, answer := range w.Answers {
		counts[answer.Call]++
	}
	for call, count := range counts {
		if count > 1 {
			found = append(found, fmt.Sprintf("call %d was answered %d times", call, count))
		}
	}
	return found
}

// wrongOutcomes finds submissions that were answered with two different outcomes, and
// complete outcomes that lack results or contain results of other tasks.
func (w *World) wrongOutcomes() []string {
	var found []string
	answered := make(map[messenger.SubmissionKey]messenger.Outcome)
	for _, answer := range w.Answers {
		a, ok := answer.Answer.(coordinator.OutcomeAnswer)
		if !ok {
			continue
		}
		earlier, known := answered[a.Outcome.Key]
		if known && !cmp.Equal(earlier, a.Outcome) {
			found = append(found, fmt.Sprintf("%s was answered with two different outcomes: %s", a.Outcome.Key, cmp.Diff(earlier, a.Outcome)))
		}
		answered[a.Outcome.Key] = a.Outcome
		found = append(found, w.checkOutcome(a.Outcome)...)
	}
	return found
}

func (w *World) checkOutcome(outcome messenger.Outcome) []string {
	submission, ok := w.submissionOf(outcome.Key)
	if !ok || outcome.Status != messenger.OutcomeComplete {
		return nil
	}
	if len(outcome.Tasks) != len(submission.Tasks) {
		return []string{fmt.Sprintf("%s is complete with %d of %d results", outcome.Key, len(outcome.Tasks), len(submission.Tasks))}
	}
	var found []string
	for i, task := range outcome.Tasks {
		var payload Payload
		if err := json.Unmarshal(submission.Tasks[i].Payload, &payload); err != nil {
			panic(err)
		}
		if task.State != messenger.TaskSucceeded || !bytes.Equal(task.Result, []byte(payload.Echo)) {
			found = append(found, fmt.Sprintf("%s#%d is complete with a wrong result", outcome.Key, i))
		}
	}
	return found
}

// untrueNotRun finds tasks that have started although an outcome reports them as not
// run, and refusals that say that a submission has not run although one of its tasks
// had started before the call.
func (w *World) untrueNotRun() []string {
	var found []string
	started := make(map[messenger.TaskKey]time.Duration)
	submissionStarted := make(map[messenger.SubmissionKey]time.Duration)
	for _, start := range w.Starts {
		if _, ok := started[start.Task]; !ok {
			started[start.Task] = start.At
		}
		if _, ok := submissionStarted[start.Task.Submission]; !ok {
			submissionStarted[start.Task.Submission] = start.At
		}
	}
	for _, answer := range w.Answers {
		switch a := answer.Answer.(type) {
		case coordinator.OutcomeAnswer:
			for i, task := range a.Outcome.Tasks {
				key := messenger.TaskKey{Submission: a.Outcome.Key, Index: i}
				if at, ok := started[key]; ok && task.State == messenger.TaskNotRun {
					found = append(found, fmt.Sprintf("an outcome reports %s as not run; the task started at %s", key, at))
				}
			}
		case coordinator.RefusalAnswer:
			key, notRun := w.refusedNotRun(answer.Call, a.Refusal)
			if at, ok := submissionStarted[key]; ok && notRun && at < w.callTime(answer.Call) {
				found = append(found, fmt.Sprintf("%s was refused with %s; its first task had started at %s", key, a.Refusal.Code, at))
			}
		}
	}
	return found
}

func (w *World) refusedNotRun(call coordinator.CallID, refusal messenger.Refusal) (messenger.SubmissionKey, bool) {
	for _, c := range w.Calls {
		if submitted, ok := c.Event.(coordinator.Submitted); ok && c.Call == call {
			switch refusal.Code {
			case messenger.CodeNotRun, messenger.CodeNeverRunnable, messenger.CodeQuota:
				return submitted.Submission.Key, true
			default:
				return submitted.Submission.Key, false
			}
		}
	}
	return messenger.SubmissionKey{}, false
}

func (w *World) callTime(call coordinator.CallID) time.Duration {
	for _, c := range w.Calls {
		if c.Call == call {
			return c.At
		}
	}
	return 0
}

// StartsAfterTakeOut returns the number of starts in a failure domain later than
// MaxTakeOutDelay after the acceptance of its take-out and before its bring-back.
func (w *World) StartsAfterTakeOut(domain string, accepted, returned time.Duration) int {
	count := 0
	for _, start := range w.Starts {
		if start.FailureDomain == domain && start.At > accepted+MaxTakeOutDelay && start.At < returned {
			count++
		}
	}
	return count
}

// staleSettings finds versions that were in force at a process more than
// MaxSettingsDelay after a newer one was accepted, and processes that returned to a
// lower version.
func (w *World) staleSettings() []string {
	var found []string
	last := make(map[messenger.Incarnation]uint64)
	for _, observed := range w.Observations {
		if observed.Version < last[observed.Process] {
			found = append(found, fmt.Sprintf("%s returned from settings version %d to %d at %s",
				observed.Process, last[observed.Process], observed.Version, observed.At))
		}
		last[observed.Process] = observed.Version
		for _, change := range w.Accepted {
			if observed.Version < change.Version && observed.At > change.At+MaxSettingsDelay {
				found = append(found, fmt.Sprintf("%s had settings version %d in force at %s; version %d was accepted at %s",
					observed.Process, observed.Version, observed.At, change.Version, change.At))
			}
		}
	}
	return found
}
