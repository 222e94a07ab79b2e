package versioner

import (
	"errors"
	"fmt"
)

var (
	// ErrUnexplained means that an edit names no author or no reason.
	ErrUnexplained = errors.New("a settings change needs an author and a reason")
	// ErrTokenReused means that the token of an edit already made a change to another tree.
	ErrTokenReused = errors.New("the token was used for another settings change")

	errLostRace = errors.New("another settings change came first")
)

// noAnswerError marks a try that may have changed the settings or may succeed
// when repeated. Every failure of the table counts, since a failed write may have
// taken effect.
type noAnswerError struct{ err error }

func (e *noAnswerError) Error() string { return e.err.Error() }

// ConflictError means that another change came first. Nothing was changed.
type ConflictError struct {
	Expected uint64
	// Present is the version in force.
	Present uint64
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("settings conflict: the edit is based on version %d, version %d is in force", e.Expected, e.Present)
}

// UnknownOutcomeError means that the table gave no answer in time. With Written,
// the change may have taken effect, and an edit with the same token tells; without,
// this call changed nothing.
type UnknownOutcomeError struct {
	Version uint64
	Token   string
	Written bool
	Err     error
}

// Error tells whether the change may be in force.
func (e *UnknownOutcomeError) Error() string {
	if !e.Written {
		return fmt.Sprintf("settings version %d was not written: %v", e.Version, e.Err)
	}
	return fmt.Sprintf("settings version %d may be in force: %v", e.Version, e.Err)
}

// Unwrap returns the last failure of the table.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// UnknownVersionError means that no change made this version.
type UnknownVersionError struct {
	Version uint64
}

// Error names the version.
func (e *UnknownVersionError) Error() string {
	return fmt.Sprintf("settings version %d does not exist", e.Version)
}
