package builder

import (
	"errors"
	"fmt"

	"github.com/burdockrudder/burdockrudder/internal/edge/caller"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

// The exit codes of the commands, as listed in the help.
const (
	ExitDone = iota
	ExitFailed
	ExitUsage
	ExitRefused
	ExitConflict
	ExitUnknown
	ExitNotAuthorised
)

// usageError is an error in the arguments or in a file named by them.
type usageError struct{ err error }

// Error returns the text of the wrapped error.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Errorf(format, args...)}
}

// errFailed means that the outcome is a failure. The outcome has already been printed.
var errFailed = errors.New("the submission failed")

// errInvalidSettings means that the settings have findings. The findings have already
// been printed.
var errInvalidSettings = errors.New("the settings have faults")

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var usage *usageError
	var unknown *caller.UnknownError
	var fault *translator.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &fault):
		return exitOf(fault.Code)
	default:
		return ExitFailed
	}
}

func exitOf(code translator.Code) int {
	switch code {
	case translator.CodeBadRequest, translator.CodeTooLarge, translator.CodeVersionRequired:
		return ExitUsage
	case translator.CodeNotRun, translator.CodeNeverRunnable, translator.CodeQuota, translator.CodeOverloaded:
		return ExitRefused
	case translator.CodeIDConflict, translator.CodeVersionConflict:
		return ExitConflict
	case translator.CodeOutcomeUnknown, translator.CodeNoAnswer, translator.CodeUnavailable:
		return ExitUnknown
	case translator.CodeUnauthorized, translator.CodeForbidden, translator.CodeNotFound:
		return ExitNotAuthorised
	default:
		return ExitFailed
	}
}
