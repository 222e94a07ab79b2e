package versioner

import (
	"errors"
	"testing"

	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
)

// Guards against change rows that are never removed, against a change that fails
// because the row to be removed is absent, and against lost history.
func TestOldChangesAreRemoved(t *testing.T) {
	table := &tableserver.Table{}
	store := &Store{Table: table, KeptChanges: 3}
	unlimited := &Store{Table: table}
	for version := range uint64(9) {
		writer := store
		if version == 5 {
			// An entry with another limit does not remove the old row.
			writer = unlimited
		}
		mustChange(writer, editOf(version, ""))
	}
	history, err := store.History(t.Context(), 0, 100)
	if err != nil {
		t.Fatal(err)
	}
	var versions []uint64
	for _, change := range history {
		versions = append(versions, change.Version)
	}
	want := []uint64{9, 8, 7, 3}
	if len(versions) != len(want) {
		t.Fatalf("kept %v, want %v", versions, want)
	}
	for i := range want {
		if versions[i] != want[i] {
			t.Fatalf("kept %v, want %v", versions, want)
		}
	}
	var unknown *UnknownVersionError
	if _, err := store.Get(t.Context(), 1); !errors.As(err, &unknown) {
		t.Errorf("a removed change gave %v", err)
	}
	if _, err := store.Change(t.Context(), editOf(0, "")); err == nil {
		t.Error("a removed version was written again")
	}
}
