package leaser

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

const (
	// fencedVisible keeps a fenced row in the directory for longer than the outage
	// horizon of 5 min, for which its entry may still act with others.
	fencedVisible = 6 * time.Minute
	// removeAfter is how long a row is seen unchanged before it is removed.
	removeAfter = time.Hour
	// scanGap is the time without a scan after which the ages start again:
	// rows do not change in an outage, though their entries are alive.
	scanGap = 30 * time.Second
)

type sighting struct {
	revision uint64
	since    time.Time
}

// directory remembers since when each row is unchanged.
type directory struct {
	seen    map[string]sighting
	scanned time.Time
}

// observe returns the entries of the directory and the rows that are to be removed.
func (d *directory) observe(now time.Time, rows []storer.Row) (entries []coordinator.EntryRow, stale []storer.Row) {
	fresh := now.Sub(d.scanned) > scanGap
	seen := make(map[string]sighting, len(rows))
	for _, row := range rows {
		last, known := d.seen[row.Key]
		if fresh || !known || last.revision != row.Revision {
			last = sighting{revision: row.Revision, since: now}
		}
		seen[row.Key] = last
		age := now.Sub(last.since)
		if age >= removeAfter {
			stale = append(stale, row)
		}
		entry, err := decode(row)
		if err == nil && (!entry.Fenced || age < fencedVisible) {
			entries = append(entries, entry)
		}
	}
	d.seen, d.scanned = seen, now
	return entries, stale
}

// Directory reads the rows of all entries. Rows that cannot be decoded are left
// out; the entries that wrote them are of another version.
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

func decode(row storer.Row) (coordinator.EntryRow, error) {
	var entry coordinator.EntryRow
	if err := cbor.Unmarshal(row.Value, &entry); err != nil {
		return entry, fmt.Errorf("decode %s: %w", row.Key, err)
	}
	return entry, nil
}

func find(rows []storer.Row, key string) storer.Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return storer.Row{}
}

// replace puts an entry's new row into the directory.
func replace(entries []coordinator.EntryRow, row coordinator.EntryRow) []coordinator.EntryRow {
	for i := range entries {
		if entries[i].Name == row.Name {
			entries[i] = row
			return entries
		}
	}
	return append(entries, row)
}
