package translator

import (
	"net/http"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Code is the machine-readable code of an error body. docs/api.md describes what each code
// means for the caller.
type Code string

// The codes of refusals by the dispatcher.
const (
	CodeNotRun         = Code(messenger.CodeNotRun)
	CodeOutcomeUnknown = Code(messenger.CodeOutcomeUnknown)
	CodeNeverRunnable  = Code(messenger.CodeNeverRunnable)
	CodeIDConflict     = Code(messenger.CodeConflict)
	CodeNotFound       = Code(messenger.CodeNotFound)
	CodeQuota          = Code(messenger.CodeQuota)
	CodeOverloaded     = Code(messenger.CodeOverloaded)
	CodeInProgress     = Code(messenger.CodeInProgress)
)

// The codes of errors that the HTTP server itself finds.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeMethodNotAllowed Code = "method_not_allowed"
	CodeTooLarge         Code = "too_large"
	CodeVersionConflict  Code = "version_conflict"
	CodeVersionRequired  Code = "version_required"
	CodeInvalidSettings  Code = "invalid_settings"
	// CodeNoAnswer means that the entry stopped before it could answer. The submission
	// may have been admitted.
	CodeNoAnswer Code = "no_answer"
	// CodeUnavailable means that the settings or the table service cannot be reached. A
	// settings change may have been committed.
	CodeUnavailable Code = "unavailable"
	CodeInternal    Code = "internal"
)

var httpStatuses = map[Code]int{
	CodeNotRun:           http.StatusServiceUnavailable,
	CodeOutcomeUnknown:   http.StatusServiceUnavailable,
	CodeNeverRunnable:    http.StatusUnprocessableEntity,
	CodeIDConflict:       http.StatusConflict,
	CodeNotFound:         http.StatusNotFound,
	CodeQuota:            http.StatusTooManyRequests,
	CodeOverloaded:       http.StatusServiceUnavailable,
	CodeInProgress:       http.StatusAccepted,
	CodeBadRequest:       http.StatusBadRequest,
	CodeUnauthorized:     http.StatusUnauthorized,
	CodeForbidden:        http.StatusForbidden,
	CodeMethodNotAllowed: http.StatusMethodNotAllowed,
	CodeTooLarge:         http.StatusRequestEntityTooLarge,
	CodeVersionConflict:  http.StatusConflict,
	CodeVersionRequired:  http.StatusPreconditionRequired,
	CodeInvalidSettings:  http.StatusUnprocessableEntity,
	CodeNoAnswer:         http.StatusServiceUnavailable,
	CodeUnavailable:      http.StatusServiceUnavailable,
	CodeInternal:         http.StatusInternalServerError,
}

// Status returns the HTTP status for the code.
func (c Code) Status() int {
	if status, ok := httpStatuses[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Retryable reports whether the same request may succeed if it is sent again soon.
func (c Code) Retryable() bool {
	switch c.Status() {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusAccepted:
		return true
	default:
		return false
	}
}

// Error is the body of every error response.
type Error struct {
	Code   Code   `json:"code"`
	Reason string `json:"reason"`
	// Field and Offset locate the error in the request body.
	Field  string `json:"field,omitempty"`
	Offset *int64 `json:"offset,omitempty"`
	// Version is the current settings version; it is set after a version conflict.
	Version uint64 `json:"version,omitempty"`
	// Findings are the errors in the settings that were rejected.
	Findings []Finding `json:"findings,omitempty"`
}

// Error returns the code, the reason and the field.
func (e *Error) Error() string {
	text := string(e.Code) + ": " + e.Reason
	if e.Field != "" {
		text += " (field " + e.Field + ")"
	}
	return text
}
