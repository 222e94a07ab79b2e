package archiver

import (
	"context"
	"crypto/rand"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/supervisor"
	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

var ready = supervisor.Announcement{
	Boot: supervisor.Boot{ID: "i-1", Address: "10.0.0.9:8080", Born: 100}, Service: "dispatch", Slots: 8,
	Labels: []string{"a"}, Capacity: messenger.Resources{MilliCPU: 16000, MemoryMB: 32768},
}

func departing() supervisor.Announcement {
	announcement := ready
	announcement.Departing = true
	return announcement
}

// Guards against a restarted agent that loads an announcement other than the last one
// stored.
func TestRestartedAgentLoadsStoredAnnouncement(t *testing.T) {
	table := &tableserver.Table{}
	for _, announcement := range []supervisor.Announcement{ready, departing()} {
		restarted := &Archive{Table: table, Agent: "agent-1"}
		if _, _, err := restarted.Load(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := restarted.Store(t.Context(), announcement); err != nil {
			t.Fatal(err)
		}
		got, found, err := (&Archive{Table: table, Agent: "agent-1"}).Load(t.Context())
		if err != nil || !found {
			t.Fatal(found, err)
		}
		if diff := cmp.Diff(announcement, got); diff != "" {
			t.Error(diff)
		}
	}
	if _, found, err := (&Archive{Table: table, Agent: "agent-2"}).Load(t.Context()); found || err != nil {
		t.Errorf("another agent loads the announcement: %v, %v", found, err)
	}
}

// Guards against a stored announcement that is reported as not stored because its last
// write attempt succeeded: the endpoint would repeat the announcement.
func TestLastWriteAttemptCounts(t *testing.T) {
	table := &contendedTable{Table: &tableserver.Table{}, contended: 3}
	archive := &Archive{Table: table, Agent: "agent-1"}
	if err := archive.Store(t.Context(), ready); err != nil {
		t.Error(err)
	}
	table.contended = 2 * maxWriteAttempts
	if err := archive.Store(t.Context(), departing()); !errors.Is(err, errConflict) {
		t.Errorf("every write was refused, got %v", err)
	}
}

// contendedTable is a table in which another writer changes a row before each of the next
// contended writes to it.
type contendedTable struct {
	*tableserver.Table
	contended int
}

func (c *contendedTable) Write(ctx context.Context, puts []storer.Put, atomic bool) ([]storer.PutResult, error) {
	if c.contended > 0 {
		c.contended--
		other := puts[0]
		other.Value, other.Token = []byte{0xff}, rand.Text()
		if _, err := c.Table.Write(ctx, []storer.Put{other}, atomic); err != nil {
			return nil, err
		}
	}
	return c.Table.Write(ctx, puts, atomic)
}

// Guards against a write to the table for each repeated announcement.
func TestStoredAnnouncementIsNotWrittenAgain(t *testing.T) {
	table := &tableserver.Table{}
	archive := &Archive{Table: table, Agent: "agent-1"}
	for range 3 {
		if err := archive.Store(t.Context(), ready); err != nil {
			t.Fatal(err)
		}
	}
	rows, err := table.Read(t.Context(), []string{Prefix + "agent-1"})
	if err != nil || len(rows) != 1 || rows[0].Revision != 1 {
		t.Errorf("%+v, %v", rows, err)
	}
}

// Guards against an announcement that replaces a departure stored after it: the table
// service may carry out a write seconds late.
func TestLateWriteDoesNotUndoADeparture(t *testing.T) {
	table := &tableserver.Table{}
	archive := &Archive{Table: table, Agent: "agent-1"}
	if err := archive.Store(t.Context(), ready); err != nil {
		t.Fatal(err)
	}
	late := storer.Put{Key: Prefix + "agent-1", Value: archive.row.Value, Expected: archive.row.Revision, Token: "late"}
	if err := archive.Store(t.Context(), departing()); err != nil {
		t.Fatal(err)
	}
	results, err := table.Write(t.Context(), []storer.Put{late}, true)
	if err != nil || results[0].Applied {
		t.Fatalf("%+v, %v", results, err)
	}
	if got, _, _ := (&Archive{Table: table, Agent: "agent-1"}).Load(t.Context()); !got.Departing {
		t.Error("the departure was undone")
	}
}

// Guards against an agent that cannot write its row because the row has the format of
// another version.
func TestUndecodableRowCountsAsAbsent(t *testing.T) {
	table := &tableserver.Table{}
	put := storer.Put{Key: Prefix + "agent-1", Value: []byte{0xff}, Token: "other"}
	if _, err := table.Write(t.Context(), []storer.Put{put}, true); err != nil {
		t.Fatal(err)
	}
	archive := &Archive{Table: table, Agent: "agent-1"}
	if _, found, err := archive.Load(t.Context()); found || err != nil {
		t.Fatal(found, err)
	}
	if err := archive.Store(t.Context(), ready); err != nil {
		t.Fatal(err)
	}
}

// Guards against an earlier announcement of the same boot that replaces a departure: the
// write of the announcement may have failed in an outage and be repeated after the
// departure.
func TestRepeatedWriteDoesNotUndoADeparture(t *testing.T) {
	table := &tableserver.Table{}
	archive := &Archive{Table: table, Agent: "agent-1"}
	for _, announcement := range []supervisor.Announcement{departing(), ready} {
		if err := archive.Store(t.Context(), announcement); err != nil {
			t.Fatal(err)
		}
	}
	if got, _, _ := (&Archive{Table: table, Agent: "agent-1"}).Load(t.Context()); !got.Departing {
		t.Error("the departure was undone")
	}
	next := ready
	next.Boot.Born++
	if err := archive.Store(t.Context(), next); err != nil {
		t.Fatal(err)
	}
	if got, _, _ := (&Archive{Table: table, Agent: "agent-1"}).Load(t.Context()); got.Departing || got.Boot != next.Boot {
		t.Errorf("the next boot was not stored: %+v", got)
	}
}
