package coordinator

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Guards against a told outcome that a takeover changes because max_result_bytes
// was lowered after it had been told through witnesses.
func TestWitnessedOutcomeIsNotBounded(t *testing.T) {
	limit := 1
	domains := map[string]resolver.FailureDomain{"sousse": {Services: map[string]resolver.Service{"dispatch": {}}}}
	s := &State{tree: &resolver.Tree{Firms: map[string]resolver.Firm{"lamis": {
		Settings: resolver.Overrides{MaxResultBytes: &limit},
		Places:   map[string]resolver.Place{"sahel": {FailureDomains: domains}},
	}}}}
	told := messenger.Outcome{
		Key: keyNamed("j"), Status: messenger.OutcomeComplete,
		Tasks: []messenger.TaskOutcome{{State: messenger.TaskSucceeded, Result: []byte("ok")}},
	}
	taken := &takeover{witnessed: map[messenger.SubmissionKey]messenger.Outcome{told.Key: told}}
	if diff := cmp.Diff(told, s.takeoverOutcome(taken, &remote{row: IntentRow{Key: told.Key, Tasks: 1}})); diff != "" {
		t.Error(diff)
	}
	if s.applyOutcomeLimits(told).Status != messenger.OutcomeFailed {
		t.Error("the bound does not apply to a collected outcome of the same size")
	}
}
