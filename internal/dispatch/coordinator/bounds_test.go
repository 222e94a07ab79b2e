package coordinator

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Guards against a takeover that changes an outcome which a caller may have received
// after witnesses accepted it, because max_result_bytes was lowered in the meantime.
func TestWitnessedOutcomeIsNotBounded(t *testing.T) {
	limit := 1
	domains := map[string]resolver.FailureDomain{"sousse": {Services: map[string]resolver.Service{"dispatch": {}}}}
	s := &State{tree: &resolver.Tree{Firms: map[string]resolver.Firm{"lamis": {
		Settings: resolver.Overrides{MaxResultBytes: &limit},
		Places:   map[string]resolver.Place{"sahel": {FailureDomains: domains}},
	}}}}
	witnessed := messenger.Outcome{
		Key: keyNamed("j"), Status: messenger.OutcomeComplete,
		Tasks: []messenger.TaskOutcome{{State: messenger.TaskSucceeded, Result: []byte("ok")}},
	}
	taken := &takeover{witnessed: map[messenger.SubmissionKey]messenger.Outcome{witnessed.Key: witnessed}}
	if diff := cmp.Diff(witnessed, s.takeoverOutcome(taken, &remote{row: IntentRow{Key: witnessed.Key, Tasks: 1}})); diff != "" {
		t.Error(diff)
	}
	if s.applyOutcomeLimits(witnessed).Status != messenger.OutcomeFailed {
		t.Error("an outcome without witnesses that exceeds max_result_bytes is not failed")
	}
}
