package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Dispatcher is the control goroutine as the HTTP edge sees it.
type Dispatcher interface {
	// Call draws a CallID, hands the event to the coordinator and returns the
	// answer to exactly this call. If ctx ends first, Call sends
	// coordinator.CallerGone for the CallID and returns the error of ctx. Any
	// other error means that the dispatcher stopped before it answered.
	Call(ctx context.Context, event func(coordinator.CallID) coordinator.Event) (coordinator.Answer, error)
	// Snapshot returns the last published state, nil before the first.
	Snapshot() *coordinator.Snapshot
}

// ErrNoVersion means that the settings history has no such version.
var ErrNoVersion = errors.New("no such settings version")

// ConflictError reports that a settings change expected another version than
// the present one. Nothing was changed.
type ConflictError struct {
	Present uint64
}

// Error names the present version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("settings are at version %d", e.Present)
}

// NotAcceptingError reports that the entry may not accept changes of the
// settings now. Nothing was changed.
type NotAcceptingError struct {
	Reason string
}

// Error gives the reason.
func (e *NotAcceptingError) Error() string {
	return "nothing was changed: " + e.Reason
}

// SettingsHead is the version and tree in force.
type SettingsHead struct {
	Version uint64
	// Tree is shared and must not be changed.
	Tree resolver.Tree
}

// SettingsChange is a change to commit.
type SettingsChange struct {
	// Expected is the version that the change replaces.
	Expected uint64
	Tree     resolver.Tree
	// Author is "root", or the firm and the key's name as firm/name.
	Author string
	Reason string
}

// SettingsRecord is a committed change.
type SettingsRecord struct {
	Version uint64
	Author  string
	Reason  string
	Time    time.Time
	Tree    resolver.Tree
}

// SettingsStore keeps the versions of the settings tree.
type SettingsStore interface {
	// Head reads the present version from the table.
	Head(ctx context.Context) (SettingsHead, error)
	// Change commits by compare-and-set and returns the new version once the
	// entry has it in force. It returns a *ConflictError if Expected is not the
	// present version, and a *NotAcceptingError if this entry may not accept
	// changes now. After any other error the change may have been committed.
	Change(ctx context.Context, change SettingsChange) (uint64, error)
	// History returns the youngest changes, at most limit, youngest first.
	History(ctx context.Context, limit int) ([]SettingsRecord, error)
	// Get returns one version, or ErrNoVersion.
	Get(ctx context.Context, version uint64) (SettingsRecord, error)
	// Parse reads JSON with comments. The tree is valid only without findings.
	Parse(text []byte) (resolver.Tree, []translator.Finding)
}
