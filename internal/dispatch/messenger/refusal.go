package messenger

import "time"

// RefusalCode classifies an answer that is not an outcome.
type RefusalCode string

// The refusal codes. docs/api.md lists them with their HTTP status.
const (
	// CodeNotRun: no task of the submission was started by this attempt, and
	// none will be.
	CodeNotRun RefusalCode = "not_run"
	// CodeOutcomeUnknown: this attempt started nothing; the outcome of earlier
	// attempts is unknown for now.
	CodeOutcomeUnknown RefusalCode = "outcome_unknown"
	// CodeNeverRunnable: the submission can never run as declared. Not run.
	CodeNeverRunnable RefusalCode = "never_runnable"
	// CodeConflict: the id is in use for another body. This attempt was not run.
	CodeConflict RefusalCode = "id_conflict"
	// CodeNotFound: no such firm, service or submission, or not visible to the key.
	CodeNotFound RefusalCode = "not_found"
	// CodeQuota: the team's quota of waiting tasks is used up. Not run.
	CodeQuota RefusalCode = "quota_exceeded"
	// CodeOverloaded: the submission could not be served in time. Not run.
	CodeOverloaded RefusalCode = "overloaded"
	// CodeInProgress: the submission is known and not yet settled.
	CodeInProgress RefusalCode = "in_progress"
)

// Refusal is an answer that is not an outcome.
type Refusal struct {
	Code   RefusalCode `json:"code"`
	Reason string      `json:"reason"`
	// RetryAfter is when the caller may come back; zero means that nothing is known.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// Error returns the code and the reason.
func (r Refusal) Error() string {
	return string(r.Code) + ": " + r.Reason
}
