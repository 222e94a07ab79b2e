// Package versioner keeps the versions of the settings tree in the platform's table
// service: changes by compare-and-set, their history, and a watcher that reads the
// version in force.
package versioner

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

const (
	headKey      = "settings/head"
	changePrefix = "settings/change/"

	defaultRetryTimeout = 2 * time.Second
	defaultRetryPause   = 100 * time.Millisecond

	// DefaultKeptChanges is the number of changes that are kept. It covers two days at
	// 4,200 changes a day.
	DefaultKeptChanges = 10_000
)

// Head is the version in force. Version 0 is the empty tree before the first change.
type Head struct {
	Version uint64        `json:"version"`
	Tree    resolver.Tree `json:"tree"`
}

// Change is one accepted change, with the whole tree that it put in force.
type Change struct {
	Version uint64        `json:"version"`
	Author  string        `json:"author"`
	Reason  string        `json:"reason"`
	Time    time.Time     `json:"time"`
	Tree    resolver.Tree `json:"tree"`
}

// Edit is a requested change. The tree must be free of findings.
type Edit struct {
	// Expected is the version that the edit is based on.
	Expected uint64
	Author   string
	Reason   string
	Tree     resolver.Tree
	// Token is unique per edit. An operator who repeats an edit after a lost
	// reply passes the same token. If empty, a random token is generated.
	Token string
}

// Store reads and changes the settings in the table. Set the fields before use.
type Store struct {
	Table storer.Table
	// RetryTimeout bounds the time for which a change is retried while the table does
	// not answer or the rows change concurrently; 0 means 2 s.
	RetryTimeout time.Duration
	// RetryPause is the delay between two attempts; 0 means 100 ms.
	RetryPause time.Duration
	// KeptChanges is the number of changes that are kept; 0 means DefaultKeptChanges.
	KeptChanges uint64
}

// Head returns the version in force.
func (s *Store) Head(ctx context.Context) (Head, error) {
	rows, err := s.Table.Read(ctx, []string{headKey})
	if err != nil {
		return Head{}, fmt.Errorf("read settings head: %w", err)
	}
	return decodeHead(findRow(rows, headKey))
}

// Change puts a tree in force. It fails with a ConflictError if the expected
// version is not in force, and with an UnknownOutcomeError if all attempts within
// RetryTimeout fail.
func (s *Store) Change(ctx context.Context, edit Edit) (Change, error) {
	if edit.Author == "" || edit.Reason == "" {
		return Change{}, ErrMissingAuthorOrReason
	}
	if edit.Token == "" {
		edit.Token = rand.Text()
	}
	ctx, cancel := context.WithTimeout(ctx, orDefault(s.RetryTimeout, defaultRetryTimeout))
	defer cancel()
	change := Change{
		Version: edit.Expected + 1,
		Author:  edit.Author,
		Reason:  edit.Reason,
		Time:    time.Now().UTC(),
		Tree:    edit.Tree,
	}
	return s.changeUntilSettled(ctx, edit, change)
}

// changeUntilSettled retries a change until an attempt has a definite result or ctx
// ends. Each attempt first checks whether an earlier attempt with the same token took
// effect.
func (s *Store) changeUntilSettled(ctx context.Context, edit Edit, change Change) (Change, error) {
	written := false
	for {
		result, wrote, err := s.tryChange(ctx, edit, change)
		written = written || wrote
		var retryable *retryableError
		if !errors.As(err, &retryable) {
			return result, err
		}
		if sleep(ctx, orDefault(s.RetryPause, defaultRetryPause)) != nil {
			return Change{}, &UnknownOutcomeError{Version: change.Version, Token: edit.Token, Written: written, Err: retryable.err}
		}
	}
}

// tryChange makes one attempt. It reports whether a write was sent.
func (s *Store) tryChange(ctx context.Context, edit Edit, change Change) (Change, bool, error) {
	changeKey := keyOf(change.Version)
	rows, err := s.Table.Read(ctx, []string{headKey, changeKey})
	if err != nil {
		return Change{}, false, &retryableError{fmt.Errorf("read settings head: %w", err)}
	}
	if own := findRow(rows, changeKey); own.Revision > 0 && own.Token == edit.Token {
		kept, err := decodeOwnChange(own, change)
		return kept, false, err
	}
	headRow := findRow(rows, headKey)
	head, err := decodeHead(headRow)
	if err != nil {
		return Change{}, false, err
	}
	if head.Version != edit.Expected {
		return Change{}, false, &ConflictError{Expected: edit.Expected, Present: head.Version}
	}
	kept, err := s.write(ctx, edit, change, headRow.Revision)
	return kept, true, err
}

func (s *Store) write(ctx context.Context, edit Edit, change Change, revision uint64) (Change, error) {
	puts, err := encodePuts(change, revision, edit.Token)
	if err != nil {
		return Change{}, err
	}
	if kept := s.keptChanges(); change.Version > kept {
		puts = append(puts, removal(change.Version-kept, edit.Token))
	}
	results, err := s.Table.Write(ctx, puts, true)
	if err != nil {
		return Change{}, &retryableError{fmt.Errorf("write settings version %d: %w", change.Version, err)}
	}
	for _, result := range results {
		if !result.Applied {
			// Another change was written first, or this edit's own write took
			// effect earlier and another change followed. The next attempt
			// finds out which.
			return Change{}, &retryableError{errConcurrentChange}
		}
	}
	return change, nil
}

func (s *Store) keptChanges() uint64 {
	if s.KeptChanges == 0 {
		return DefaultKeptChanges
	}
	return s.KeptChanges
}

// Get returns one accepted change that is still kept.
func (s *Store) Get(ctx context.Context, version uint64) (Change, error) {
	changes, err := s.read(ctx, []string{keyOf(version)})
	if err != nil {
		return Change{}, err
	}
	if len(changes) == 0 {
		return Change{}, &UnknownVersionError{Version: version}
	}
	return changes[0], nil
}

// History returns up to limit changes, newest first, starting below the version
// before; 0 starts at the version in force. Versions have no gaps, so the
// rows are read by key; a scan would return the trees of all changes.
func (s *Store) History(ctx context.Context, before uint64, limit int) ([]Change, error) {
	if before == 0 {
		head, err := s.Head(ctx)
		if err != nil {
			return nil, err
		}
		before = head.Version + 1
	}
	var keys []string
	for version := before - 1; version > 0 && len(keys) < limit; version-- {
		keys = append(keys, keyOf(version))
	}
	changes, err := s.read(ctx, keys)
	if err != nil {
		return nil, err
	}
	newestFirst(changes)
	return changes, nil
}

func (s *Store) read(ctx context.Context, keys []string) ([]Change, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	rows, err := s.Table.Read(ctx, keys)
	if err != nil {
		return nil, fmt.Errorf("read settings changes: %w", err)
	}
	changes := make([]Change, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &changes[i]); err != nil {
			return nil, fmt.Errorf("decode row %s: %w", row.Key, err)
		}
	}
	return changes, nil
}

func sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}
