package leaser

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

const (
	// fencedRowRetention is how long a fenced row stays in the directory. It is longer
	// than coordinator.Config.MaxStoreOutage (5 min), during which the fenced entry may
	// still act together with other entries.
	fencedRowRetention = 6 * time.Minute
	// unchangedRowRetention is how long a row may stay unchanged before it is removed
	// from the table.
	unchangedRowRetention = time.Hour
	// maxScanInterval is the time between two scans above which the ages of all rows
	// restart at zero: rows do not change during an outage of the table, although their
	// entries are alive.
	maxScanInterval = 30 * time.Second
)

type rowObservation struct {
	revision       uint64
	unchangedSince time.Time
}

// directory tracks since when each row has been unchanged.
type directory struct {
	logger       *zap.Logger
	observations map[string]rowObservation
	lastScan     time.Time
}

// observe records the rows of a scan. It returns the entries of the directory and the
// stale rows, which are to be removed from the table.
func (d *directory) observe(now time.Time, rows []storer.Row) (entries []coordinator.EntryRow, stale []storer.Row) {
	restartAges := now.Sub(d.lastScan) > maxScanInterval
	observations := make(map[string]rowObservation, len(rows))
	for _, row := range rows {
		last, known := d.observations[row.Key]
		changed := !known || last.revision != row.Revision
		if restartAges || changed {
			last = rowObservation{revision: row.Revision, unchangedSince: now}
		}
		observations[row.Key] = last
		age := now.Sub(last.unchangedSince)
		if age >= unchangedRowRetention {
			stale = append(stale, row)
		}
		entry, err := decode(row)
		if err != nil {
			if changed {
				d.logger.Warn("row names no entry and is left out", zap.Error(err))
			}
			continue
		}
		if !entry.Fenced || age < fencedRowRetention {
			entries = append(entries, entry)
		}
	}
	d.observations, d.lastScan = observations, now
	return entries, stale
}

// Directory reads the rows of all entries. Rows that name no entry are left out; they were
// written by another program or by entries of another version.
func Directory(ctx context.Context, table storer.Table) ([]coordinator.EntryRow, error) {
	rows, err := table.Scan(ctx, Prefix)
	if err != nil {
		return nil, fmt.Errorf("read directory: %w", err)
	}
	var entries []coordinator.EntryRow
	for _, row := range rows {
		if entry, err := decode(row); err == nil {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

// decode returns the entry that a row names.
func decode(row storer.Row) (coordinator.EntryRow, error) {
	var entry coordinator.EntryRow
	if err := cbor.Unmarshal(row.Value, &entry); err != nil {
		return coordinator.EntryRow{}, fmt.Errorf("decode %s: %w", row.Key, err)
	}
	if Prefix+entry.Name != row.Key || entry.Incarnation == "" {
		return coordinator.EntryRow{}, fmt.Errorf("row %s holds entry %q with incarnation %q", row.Key, entry.Name, entry.Incarnation)
	}
	address, err := netip.ParseAddrPort(entry.Address)
	if err != nil {
		return coordinator.EntryRow{}, fmt.Errorf("address in row %s: %w", row.Key, err)
	}
	if address.Port() == 0 {
		return coordinator.EntryRow{}, fmt.Errorf("address in row %s has port 0", row.Key)
	}
	return entry, nil
}

// findRow returns the row with a key, and whether it exists.
func findRow(rows []storer.Row, key string) (storer.Row, bool) {
	for _, row := range rows {
		if row.Key == key {
			return row, true
		}
	}
	return storer.Row{}, false
}

// replaceEntry replaces the row of an entry in the directory, or adds it.
func replaceEntry(entries []coordinator.EntryRow, row coordinator.EntryRow) []coordinator.EntryRow {
	for i := range entries {
		if entries[i].Name == row.Name {
			entries[i] = row
			return entries
		}
	}
	return append(entries, row)
}
