package launcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/edge/server"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
	"github.com/burdockrudder/burdockrudder/internal/settings/parser"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
	"github.com/burdockrudder/burdockrudder/internal/settings/versioner"
)

const (
	// inForcePollInterval is the interval at which the published snapshot is checked for a
	// committed change.
	inForcePollInterval = 5 * time.Millisecond
	settingsSource      = "request"
)

// settingsStore stores the settings in the table. A change is reported as accepted only
// after it is in force at this entry.
type settingsStore struct {
	store   *versioner.Store
	control *entryControl
}

// Head returns the version in force in the table.
func (s *settingsStore) Head(ctx context.Context) (server.SettingsHead, error) {
	head, err := s.store.Head(ctx)
	if err != nil {
		return server.SettingsHead{}, err
	}
	return server.SettingsHead{Version: head.Version, Tree: head.Tree}, nil
}

// Change commits a change and waits until it is in force at this entry, which propagates
// the change from then on.
func (s *settingsStore) Change(ctx context.Context, change server.SettingsChange) (uint64, error) {
	view := s.control.Snapshot()
	if view == nil {
		return 0, &server.NotAcceptingError{Reason: "this entry has only just started"}
	}
	if view.AcceptRefusal != "" {
		return 0, &server.NotAcceptingError{Reason: view.AcceptRefusal}
	}
	accepted, err := s.store.Change(ctx, versioner.Edit{
		Expected: change.Expected,
		Author:   change.Author,
		Reason:   change.Reason,
		Tree:     change.Tree,
	})
	var conflict *versioner.ConflictError
	if errors.As(err, &conflict) {
		return 0, &server.ConflictError{Present: conflict.Present}
	}
	if err != nil {
		return 0, err
	}
	tree := accepted.Tree
	// SentAt is not set: a later change may already have been committed, so this event
	// does not confirm that the version is current.
	s.control.loop.post(coordinator.SettingsRead{Version: accepted.Version, Tree: &tree})
	return accepted.Version, s.awaitInForce(ctx, accepted.Version)
}

func (s *settingsStore) awaitInForce(ctx context.Context, version uint64) error {
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		if view := s.control.Snapshot(); view != nil && view.SettingsVersion >= version {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("version %d is committed and not yet in force here: %w", version, ctx.Err())
		case <-s.control.loop.stopped:
			return ErrStopped
		case <-ticker.C:
		}
	}
}

// History returns the newest changes, newest first.
func (s *settingsStore) History(ctx context.Context, limit int) ([]server.SettingsRecord, error) {
	changes, err := s.store.History(ctx, 0, limit)
	if err != nil {
		return nil, err
	}
	records := make([]server.SettingsRecord, 0, len(changes))
	for _, change := range changes {
		records = append(records, recordOf(change))
	}
	return records, nil
}

// Get returns the change that made the given version.
func (s *settingsStore) Get(ctx context.Context, version uint64) (server.SettingsRecord, error) {
	change, err := s.store.Get(ctx, version)
	var unknown *versioner.UnknownVersionError
	if errors.As(err, &unknown) {
		return server.SettingsRecord{}, server.ErrNoVersion
	}
	if err != nil {
		return server.SettingsRecord{}, err
	}
	return recordOf(change), nil
}

func recordOf(change versioner.Change) server.SettingsRecord {
	return server.SettingsRecord{
		Version: change.Version,
		Author:  change.Author,
		Reason:  change.Reason,
		Time:    change.Time,
		Tree:    change.Tree,
	}
}

// Parse reads a settings tree and returns its findings.
func (s *settingsStore) Parse(text []byte) (resolver.Tree, []translator.Finding) {
	tree, findings := parser.Parse(settingsSource, text)
	converted := make([]translator.Finding, 0, len(findings))
	for _, f := range findings {
		converted = append(converted, translator.Finding{
			Level: string(f.Level), Path: f.Path, Line: f.Line, Column: f.Column, Message: f.Message,
		})
	}
	return tree, converted
}
