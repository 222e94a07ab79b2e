package messenger

import "time"

// RefusalCode classifies an answer that carries no outcome.
type RefusalCode string

// The refusal codes. docs/api.md lists them with their HTTP status.
const (
	// CodeNotRun: no task of the submission was started by this attempt, and
	// none will be.
	CodeNotRun RefusalCode = "not_run"
	// CodeOutcomeUnknown: this attempt started no task; the outcome of earlier
	// attempts is not known at present.
	CodeOutcomeUnknown RefusalCode = "outcome_unknown"
	// CodeNeverRunnable: the submission can never run as declared. It was not run.
	CodeNeverRunnable RefusalCode = "never_runnable"
	// CodeConflict: the id is in use for a submission with another body. This attempt
	// was not run.
	CodeConflict RefusalCode = "id_conflict"
	// CodeNotFound: the firm, service or submission does not exist, or the caller's key
	// gives no access to it.
	CodeNotFound RefusalCode = "not_found"
	// CodeQuota: the submission would exceed the team's quota of waiting tasks. It was
	// not run.
	CodeQuota RefusalCode = "quota_exceeded"
	// CodeOverloaded: the submission could not be served in time. It was not run.
	CodeOverloaded RefusalCode = "overloaded"
	// CodeInProgress: the submission exists and has no outcome yet.
	CodeInProgress RefusalCode = "in_progress"
)

// Refusal is an answer that carries no outcome.
type Refusal struct {
	Code   RefusalCode `json:"code"`
	Reason string      `json:"reason"`
	// RetryAfter is the time after which the caller may retry. Zero means unknown.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// Error returns the code and the reason.
func (r Refusal) Error() string {
	return string(r.Code) + ": " + r.Reason
}
