// Package archiver keeps in the platform's table what an endpoint last announced.
// An agent that was restarted takes it up as soon as it has reached the same boot
// of the endpoint, and need not wait for the next heartbeat.
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

// Prefix is that of the keys of the rows; the name of the agent follows.
const Prefix = "endpoint/"

// maxTries bounds the tries of a write whose row changes meanwhile. Only this agent
// and an earlier life of it write the row.
const maxTries = 3

var errChanging = errors.New("the row changed at every try")

// Archive keeps the row of one agent. Its exported fields are set before the first
// call.
type Archive struct {
	Table storer.Table
	// Agent is the name of the agent.
	Agent string

	mu   sync.Mutex
	row  storer.Row
	kept supervisor.Announcement
}

// Load reads what was kept. It reports false if there is nothing, or nothing that
// this version can read.
func (a *Archive) Load(ctx context.Context) (supervisor.Announcement, bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.read(ctx); err != nil {
		return supervisor.Announcement{}, false, err
	}
	return a.kept, a.kept.Boot.Born != 0, nil
}

func (a *Archive) read(ctx context.Context) error {
	rows, err := a.Table.Read(ctx, []string{Prefix + a.Agent})
	if err != nil {
		return fmt.Errorf("read announcement: %w", err)
	}
	a.row, a.kept = storer.Row{}, supervisor.Announcement{}
	if len(rows) == 0 {
		return nil
	}
	a.row = rows[0]
	if err := cbor.Unmarshal(a.row.Value, &a.kept); err != nil {
		// The row of another version counts as none, and is written anew.
		a.kept = supervisor.Announcement{}
	}
	return nil
}

// Keep writes an announcement unless it is kept already or says less than what is
// kept. When it returns without an error, no earlier announcement will be loaded any
// more: a write that the service carries out late finds that the row has changed.
func (a *Archive) Keep(ctx context.Context, announcement supervisor.Announcement) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	value, err := cbor.Marshal(announcement)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	for range maxTries + 1 {
		if reflect.DeepEqual(a.kept, announcement) || isOvertaken(announcement, a.kept) {
			return nil
		}
		put := storer.Put{Key: Prefix + a.Agent, Value: value, Expected: a.row.Revision, Token: rand.Text()}
		results, err := a.Table.Write(ctx, []storer.Put{put}, true)
		if err != nil {
			return fmt.Errorf("keep announcement: %w", err)
		}
		if results[0].Applied {
			a.row, a.kept = results[0].Row, announcement
			continue
		}
		if err := a.read(ctx); err != nil {
			return err
		}
	}
	return fmt.Errorf("keep announcement: %w", errChanging)
}

// isOvertaken tells whether an announcement was made before the departure that is
// kept: an endpoint that departs does not come back in the same boot.
func isOvertaken(announcement, kept supervisor.Announcement) bool {
	return kept.Departing && !announcement.Departing && kept.Boot.Born == announcement.Boot.Born
}
