// Package archiver stores the last announcement of an endpoint in the platform's table
// service. A restarted agent uses the stored announcement as soon as it has reached the
// same boot of the endpoint, without waiting for the next announcement.
package archiver

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"reflect"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/burdockrudder/burdockrudder/internal/edge/supervisor"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// Prefix is the key prefix of the rows; the name of the agent follows.
const Prefix = "endpoint/"

// maxWriteAttempts bounds the writes of Store if the row changes concurrently. Only this
// agent and an earlier incarnation of it write the row.
const maxWriteAttempts = 4

var errConflict = errors.New("the row was changed by another writer during each attempt")

// Archive reads and writes the row of one agent. Its exported fields are set before the
// first call.
type Archive struct {
	Table storer.Table
	// Agent is the name of the agent.
	Agent string

	mu sync.Mutex
	// row is the row as last read or written, and stored is its announcement.
	row    storer.Row
	stored supervisor.Announcement
}

// Load reads the stored announcement. It reports false if there is none, or none that
// this version can decode.
func (a *Archive) Load(ctx context.Context) (supervisor.Announcement, bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.read(ctx); err != nil {
		return supervisor.Announcement{}, false, err
	}
	return a.stored, a.stored.Boot.Born != 0, nil
}

func (a *Archive) read(ctx context.Context) error {
	rows, err := a.Table.Read(ctx, []string{Prefix + a.Agent})
	if err != nil {
		return fmt.Errorf("read announcement: %w", err)
	}
	a.row, a.stored = storer.Row{}, supervisor.Announcement{}
	if len(rows) == 0 {
		return nil
	}
	a.row = rows[0]
	if err := cbor.Unmarshal(a.row.Value, &a.stored); err != nil {
		// A row that this version cannot decode counts as absent, and the next
		// announcement overwrites it.
		a.stored = supervisor.Announcement{}
	}
	return nil
}

// Store writes an announcement unless it is already stored or precedes the stored departure
// of the same boot. After Store returns without an error, no earlier announcement can be
// loaded any more: a delayed earlier write can no longer overwrite the row, because the
// revision has changed.
func (a *Archive) Store(ctx context.Context, announcement supervisor.Announcement) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	value, err := cbor.Marshal(announcement)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	for range maxWriteAttempts {
		if a.isSettled(announcement) {
			return nil
		}
		put := storer.Put{Key: Prefix + a.Agent, Value: value, Expected: a.row.Revision, Token: rand.Text()}
		results, err := a.Table.Write(ctx, []storer.Put{put}, true)
		if err != nil {
			return fmt.Errorf("store announcement: %w", err)
		}
		if results[0].Applied {
			a.row, a.stored = results[0].Row, announcement
			return nil
		}
		if err := a.read(ctx); err != nil {
			return err
		}
	}
	if a.isSettled(announcement) {
		return nil
	}
	return fmt.Errorf("store announcement: %w", errConflict)
}

// isSettled reports whether an announcement needs no write: it is stored, or it precedes
// the stored departure.
func (a *Archive) isSettled(announcement supervisor.Announcement) bool {
	return reflect.DeepEqual(a.stored, announcement) || precedesDeparture(announcement, a.stored)
}

// precedesDeparture reports whether an announcement was made before the stored departure:
// an endpoint that departs does not come back in the same boot.
func precedesDeparture(announcement, stored supervisor.Announcement) bool {
	return stored.Departing && !announcement.Departing && stored.Boot.Born == announcement.Boot.Born
}
