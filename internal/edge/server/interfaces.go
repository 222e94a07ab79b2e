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

// Dispatcher is the interface of the HTTP server to the entry's control goroutine.
type Dispatcher interface {
	// Call allocates a CallID, passes the event to the coordinator and returns the
	// coordinator's answer to this call. If ctx ends first, Call sends
	// coordinator.CallerGone for the CallID and returns the error of ctx. Any other
	// error means that the dispatcher stopped before it answered.
	Call(ctx context.Context, event func(coordinator.CallID) coordinator.Event) (coordinator.Answer, error)
	// Snapshot returns the last published state, or nil if none was published yet.
	Snapshot() *coordinator.Snapshot
}

// ErrNoVersion means that the settings history does not contain the requested version.
var ErrNoVersion = errors.New("no such settings version")

// ConflictError means that a settings change expected another version than the current
// one. Nothing was changed.
type ConflictError struct {
	// Present is the current version.
	Present uint64
}

// Error returns a message with the current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("settings are at version %d", e.Present)
}

// NotAcceptingError means that the entry may not accept settings changes now. Nothing
// was changed.
type NotAcceptingError struct {
	Reason string
}

// Error returns a message with the reason.
func (e *NotAcceptingError) Error() string {
	return "nothing was changed: " + e.Reason
}

// SettingsHead is the current version of the settings.
type SettingsHead struct {
	Version uint64
	// Tree is shared with other goroutines and must not be modified.
	Tree resolver.Tree
}

// SettingsChange is a change to commit.
type SettingsChange struct {
	// Expected is the version that the change replaces.
	Expected uint64
	Tree     resolver.Tree
	// Author is "root" or the name of the key as firm/key.
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
	// Head reads the current version from the table service.
	Head(ctx context.Context) (SettingsHead, error)
	// Change commits by compare-and-set and returns the new version once it is in
	// force on this entry. It returns a *ConflictError if Expected is not the current
	// version, and a *NotAcceptingError if this entry may not accept changes now.
	// After any other error the change may have been committed.
	Change(ctx context.Context, change SettingsChange) (uint64, error)
	// History returns at most limit changes, newest first.
	History(ctx context.Context, limit int) ([]SettingsRecord, error)
	// Get returns one version. It returns ErrNoVersion if there is no such version.
	Get(ctx context.Context, version uint64) (SettingsRecord, error)
	// Parse reads JSON with comments. The tree is valid only if there are no findings.
	Parse(text []byte) (resolver.Tree, []translator.Finding)
}
