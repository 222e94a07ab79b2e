package tableserver

import (
	"testing"

	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// Guards against a stand-in that applies a write whose condition does not hold,
// or only a part of an atomic transaction.
func TestWriteConditions(t *testing.T) {
	present := storer.Put{Key: "present", Token: "first"}
	for _, scenario := range []struct {
		name    string
		puts    []storer.Put
		atomic  bool
		applied []bool
	}{
		{"create absent", []storer.Put{{Key: "new", Token: "a"}}, false, []bool{true}},
		{"create present", []storer.Put{{Key: "present", Token: "a"}}, false, []bool{false}},
		{"own token again", []storer.Put{present}, false, []bool{true}},
		{"update", []storer.Put{{Key: "present", Token: "a", Expected: 1}}, false, []bool{true}},
		{"stale update", []storer.Put{{Key: "present", Token: "a", Expected: 2}}, false, []bool{false}},
		{"separate", []storer.Put{{Key: "new", Token: "a"}, {Key: "present", Token: "b"}}, false, []bool{true, false}},
		{"atomic", []storer.Put{{Key: "new", Token: "a"}, {Key: "present", Token: "b"}}, true, []bool{false, false}},
		{"delete", []storer.Put{{Key: "present", Token: "a", Expected: 1, Delete: true}}, false, []bool{true}},
		{"stale delete", []storer.Put{{Key: "present", Token: "a", Expected: 2, Delete: true}}, false, []bool{false}},
		{"delete absent", []storer.Put{{Key: "new", Token: "a", Expected: 1, Delete: true}}, false, []bool{true}},
		{"two creates of one key", []storer.Put{{Key: "new", Token: "a"}, {Key: "new", Token: "b"}}, false, []bool{true, false}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			table := &Table{}
			if _, err := table.Write(t.Context(), []storer.Put{present}, false); err != nil {
				t.Fatal(err)
			}
			results, err := table.Write(t.Context(), scenario.puts, scenario.atomic)
			if err != nil {
				t.Fatal(err)
			}
			for i, want := range scenario.applied {
				if results[i].Applied != want {
					t.Errorf("put %d: applied %v, want %v", i, results[i].Applied, want)
				}
			}
		})
	}
}

// Guards against a revision that repeats after a removal, which would let an old
// compare-and-set succeed.
func TestRevisionGrowsAcrossRemoval(t *testing.T) {
	table := &Table{}
	for i, put := range []storer.Put{
		{Key: "k", Token: "a"},
		{Key: "k", Token: "b", Expected: 1, Delete: true},
		{Key: "k", Token: "c"},
	} {
		if results, err := table.Write(t.Context(), []storer.Put{put}, false); err != nil || !results[0].Applied {
			t.Fatalf("put %d: %+v, %v", i, results, err)
		}
	}
	rows, err := table.Read(t.Context(), []string{"k"})
	if err != nil || len(rows) != 1 || rows[0].Revision != 2 {
		t.Errorf("got %+v, %v", rows, err)
	}
}
