package versioner

import (
	"errors"
	"fmt"
)

var (
	// ErrMissingAuthorOrReason means that an edit has no author or no reason.
	ErrMissingAuthorOrReason = errors.New("a settings change needs an author and a reason")
	// ErrTokenReused means that an earlier change to another tree used the token of an edit.
	ErrTokenReused = errors.New("the token was used for another settings change")

	errConcurrentChange = errors.New("another settings change came first")
)

// retryableError marks a failed attempt that is retried: the table returned an error, and
// a failed write may have taken effect, or the rows were changed concurrently.
type retryableError struct{ err error }

func (e *retryableError) Error() string { return e.err.Error() }

// ConflictError means that the expected version is not the version in force. Nothing
// was changed.
type ConflictError struct {
	Expected uint64
	// Present is the version in force.
	Present uint64
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("settings conflict: the edit is based on version %d, version %d is in force", e.Expected, e.Present)
}

// UnknownOutcomeError means that no attempt had a definite result in time: the table
// returned errors, or the rows were changed concurrently during the last attempt. If
// Written is true, the change may have taken effect, and repeating the edit with the same
// token finds out. If Written is false, this call changed nothing.
type UnknownOutcomeError struct {
	Version uint64
	Token   string
	Written bool
	Err     error
}

// Error states whether the change may be in force.
func (e *UnknownOutcomeError) Error() string {
	if !e.Written {
		return fmt.Sprintf("settings version %d was not written: %v", e.Version, e.Err)
	}
	return fmt.Sprintf("settings version %d may be in force: %v", e.Version, e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// UnknownVersionError means that the change that made a version does not exist or has
// been removed.
type UnknownVersionError struct {
	Version uint64
}

// Error names the version.
func (e *UnknownVersionError) Error() string {
	return fmt.Sprintf("settings version %d does not exist", e.Version)
}
