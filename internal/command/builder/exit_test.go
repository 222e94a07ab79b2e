package builder

import (
	"errors"
	"testing"

	"github.com/spf13/cobra"

	"github.com/burdockrudder/burdockrudder/internal/edge/caller"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

// Guards against an API error that exits with the code of another kind of error, above
// all an unknown outcome that is reported to scripts as not run.
func TestExitCodes(t *testing.T) {
	scenarios := []struct {
		code translator.Code
		want int
	}{
		{translator.CodeNotRun, 3},
		{translator.CodeQuota, 3},
		{translator.CodeNeverRunnable, 3},
		{translator.CodeIDConflict, 4},
		{translator.CodeVersionConflict, 4},
		{translator.CodeOutcomeUnknown, 5},
		{translator.CodeNoAnswer, 5},
		{translator.CodeUnauthorized, 6},
		{translator.CodeForbidden, 6},
		{translator.CodeNotFound, 6},
		{translator.CodeBadRequest, 2},
		{translator.CodeInvalidSettings, 1},
		{translator.CodeInternal, 1},
	}
	for _, s := range scenarios {
		t.Run(string(s.code), func(t *testing.T) {
			fault := &translator.Error{Code: s.code}
			if got := ExitCode(errors.Join(fault)); got != s.want {
				t.Errorf("got %d, want %d", got, s.want)
			}
			if got := ExitCode(&caller.UnknownError{Err: fault}); got != 5 {
				t.Errorf("got %d after an attempt that may have arrived, want 5", got)
			}
		})
	}
}

// Guards against daemon commands that cannot be added, or that inherit the
// operators' flags.
func TestRootTakesExtraCommands(t *testing.T) {
	extra := &cobra.Command{Use: "entry", Run: func(*cobra.Command, []string) {}}
	found, _, err := Root(extra).Find([]string{"entry"})
	if err != nil || found != extra {
		t.Fatalf("got %v, %v", found, err)
	}
	if extra.InheritedFlags().Lookup("server") != nil {
		t.Error("entry inherits --server")
	}
}
