package versioner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

var sousse = Domain{Firm: "lamis", Place: "sahel", FailureDomain: "sousse"}

// treeOf returns a tree with one leaf and the given max_tasks.
func treeOf(maxTasks int) resolver.Tree {
	domains := map[string]resolver.FailureDomain{"sousse": {Services: map[string]resolver.Service{"dispatch": {}}}}
	places := map[string]resolver.Place{"sahel": {FailureDomains: domains}}
	settings := resolver.Overrides{MaxTasks: &maxTasks}
	return resolver.Tree{Firms: map[string]resolver.Firm{"lamis": {Settings: settings, Places: places}}}
}

func editOf(expected uint64, token string) Edit {
	return Edit{Expected: expected, Author: "ana", Reason: "test", Tree: treeOf(int(expected) + 1), Token: token}
}

func newStore(versions uint64) (*Store, *fakeTable) {
	table := &fakeTable{rows: map[string]storer.Row{}}
	store := &Store{Table: table}
	for version := range versions {
		if _, err := store.Change(context.Background(), editOf(version, "")); err != nil {
			panic(err)
		}
	}
	return store, table
}

// Guards against a change that overwrites another change, takes effect twice, is
// reported as failed although it is in force, or as made although it is not.
func TestChange(t *testing.T) {
	scenarios := []struct {
		name    string
		fault   func(*Store, *fakeTable)
		edit    Edit
		want    error
		present uint64
		writes  int
	}{
		{name: "first change", edit: editOf(0, "a"), present: 1, writes: 1},
		{name: "reply lost", edit: editOf(0, "a"), present: 1, writes: 1,
			fault: func(_ *Store, f *fakeTable) { f.loseReplies = 1 }},
		{name: "write lost", edit: editOf(0, "a"), present: 1, writes: 2,
			fault: func(_ *Store, f *fakeTable) { f.failWrites = 1 }},
		{name: "reply lost, then followed by another change", edit: editOf(0, "a"), present: 2, writes: 3,
			fault: func(s *Store, f *fakeTable) {
				f.beforeWrite = func() {
					mustChange(s, editOf(0, "a"))
					mustChange(s, editOf(1, "b"))
				}
			}},
		{name: "operator repeats an edit that is in force", edit: editOf(0, "a"), present: 2, writes: 2,
			fault: func(s *Store, _ *fakeTable) {
				mustChange(s, editOf(0, "a"))
				mustChange(s, editOf(1, "b"))
			}},
		{name: "token of another edit", edit: Edit{Author: "ana", Reason: "r", Tree: treeOf(9), Token: "a"},
			want: ErrTokenReused, present: 1, writes: 1,
			fault: func(s *Store, _ *fakeTable) { mustChange(s, editOf(0, "a")) }},
		{name: "stale version", edit: editOf(0, "a"), want: &ConflictError{Present: 1}, present: 1, writes: 1,
			fault: func(s *Store, _ *fakeTable) { mustChange(s, editOf(0, "b")) }},
		{name: "concurrent change before the write", edit: editOf(0, "a"), want: &ConflictError{Present: 1}, present: 1, writes: 2,
			fault: func(s *Store, f *fakeTable) { f.beforeWrite = func() { mustChange(s, editOf(0, "b")) } }},
		{name: "version not yet reached", edit: editOf(3, "a"), want: &ConflictError{Expected: 3}},
		{name: "no reason", edit: Edit{Author: "ana"}, want: ErrMissingAuthorOrReason},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, table := newStore(0)
				if scenario.fault != nil {
					scenario.fault(store, table)
				}
				change, err := store.Change(t.Context(), scenario.edit)
				checkError(t, scenario.want, err)
				if err == nil {
					if diff := cmp.Diff(scenario.edit.Tree, change.Tree); diff != "" {
						t.Errorf("tree of the change (-want +got):\n%s", diff)
					}
				}
				head, err := store.Head(t.Context())
				if err != nil || head.Version != scenario.present || table.writes != scenario.writes {
					t.Errorf("version %d after %d writes (%v), want %d after %d",
						head.Version, table.writes, err, scenario.present, scenario.writes)
				}
			})
		})
	}
}

// Guards against an error which says that a change was not made although it may be in
// force.
func TestChangeDuringOutage(t *testing.T) {
	scenarios := []struct {
		name    string
		fault   func(*fakeTable, context.CancelFunc)
		written bool
	}{
		{"no read", func(f *fakeTable, _ context.CancelFunc) { f.failReads = true }, false},
		{"reads hang", func(f *fakeTable, _ context.CancelFunc) { f.hangReads = true }, false},
		{"no reply to writes", func(f *fakeTable, _ context.CancelFunc) { f.failWrites = 1000 }, true},
		{"no answer after the write", func(f *fakeTable, _ context.CancelFunc) {
			f.loseReplies, f.beforeWrite = 1, func() { f.failReads = true }
		}, true},
		{"caller cancels during the write", func(f *fakeTable, cancel context.CancelFunc) {
			f.loseReplies, f.beforeWrite = 1, cancel
		}, true},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, table := newStore(0)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				scenario.fault(table, cancel)
				_, err := store.Change(ctx, editOf(0, "a"))
				var unknown *UnknownOutcomeError
				if !errors.As(err, &unknown) || unknown.Written != scenario.written || unknown.Token != "a" {
					t.Errorf("got %v, want an unknown outcome with written=%v", err, scenario.written)
				}
			})
		})
	}
}

// Guards against a history with gaps, in the wrong order or without its author.
func TestHistory(t *testing.T) {
	store, _ := newStore(12)
	for _, scenario := range []struct {
		before uint64
		limit  int
		want   []uint64
	}{{0, 3, []uint64{12, 11, 10}}, {10, 2, []uint64{9, 8}}, {2, 5, []uint64{1}}, {1, 5, nil}, {0, 0, nil}} {
		changes, err := store.History(t.Context(), scenario.before, scenario.limit)
		if err != nil {
			t.Fatal(err)
		}
		var got []uint64
		for _, change := range changes {
			got = append(got, change.Version)
		}
		if diff := cmp.Diff(scenario.want, got); diff != "" {
			t.Errorf("history before %d (-want +got):\n%s", scenario.before, diff)
		}
	}
	change, err := store.Get(t.Context(), 7)
	if err != nil || change.Author != "ana" || change.Reason != "test" || change.Time.IsZero() {
		t.Errorf("version 7 is %+v, %v", change, err)
	}
	_, err = store.Get(t.Context(), 13)
	checkError(t, &UnknownVersionError{Version: 13}, err)
}

// Guards against a change that an operator cannot see in the list of differences.
func TestDiff(t *testing.T) {
	before, after := treeOf(1), treeOf(2)
	firm := after.Firms["lamis"]
	firm.Keys = []resolver.Key{{Name: "k", Role: resolver.RoleCaller}}
	firm.Places["sahel"].FailureDomains["mahdia"] = resolver.FailureDomain{}
	delete(firm.Places["sahel"].FailureDomains["sousse"].Services, "dispatch")
	after.Firms["lamis"] = firm
	differences, err := Diff(before, after)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, d := range differences {
		got = append(got, d.Path+": "+string(d.Old)+" -> "+string(d.New))
	}
	want := []string{
		`firms.lamis.keys.k.name:  -> "k"`,
		`firms.lamis.keys.k.role:  -> "caller"`,
		`firms.lamis.keys.k.secret_sha256:  -> ""`,
		`firms.lamis.places.sahel.failure_domains.mahdia:  -> {}`,
		`firms.lamis.places.sahel.failure_domains.sousse.services.dispatch: {} -> `,
		`firms.lamis.settings.max_tasks: 1 -> 2`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("differences (-want +got):\n%s", diff)
	}
}

// Guards against a service that keeps starting tasks in a failure domain that is out,
// and against a change of the given tree, which other goroutines still read.
func TestTakeOutAndBringBack(t *testing.T) {
	in, out := messenger.DomainIn, messenger.DomainOut
	tree := treeOf(1)
	services := tree.Firms["lamis"].Places["sahel"].FailureDomains["sousse"].Services
	services["dispatch"] = resolver.Service{Settings: resolver.Overrides{State: &in}}
	leaf := resolver.Scope{Firm: "lamis", Place: "sahel", FailureDomain: "sousse", Service: "dispatch"}
	taken, err := TakeOut(tree, sousse)
	if resolved, _ := taken.Resolve(leaf); err != nil || resolved.State != out {
		t.Errorf("after the take-out: %v, %v", resolved.State, err)
	}
	if resolved, _ := tree.Resolve(leaf); resolved.State != in {
		t.Error("the take-out changed the given tree")
	}
	back, err := BringBack(taken, sousse)
	if resolved, _ := back.Resolve(leaf); err != nil || resolved.State != in {
		t.Errorf("after the bring-back: %v, %v", resolved.State, err)
	}
	_, err = TakeOut(tree, Domain{Firm: "lamis"})
	checkError(t, &UnknownDomainError{Domain{Firm: "lamis"}}, err)
	firm := taken.Firms["lamis"]
	firm.Settings.State = &out
	taken.Firms["lamis"] = firm
	_, err = BringBack(taken, sousse)
	checkError(t, &StillOutError{sousse}, err)
}

func mustChange(store *Store, edit Edit) {
	if _, err := store.Change(context.Background(), edit); err != nil {
		panic(err)
	}
}

func checkError(t *testing.T, want, got error) {
	t.Helper()
	if want == nil && got == nil {
		return
	}
	if want == nil || got == nil || want.Error() != got.Error() {
		t.Errorf("error %v, want %v", got, want)
	}
}
