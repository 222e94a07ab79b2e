package versioner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

type reading struct {
	After    time.Duration
	Version  uint64
	MaxTasks int
}

// Guards against settings that revert to a lower version, a confirmation time later
// than the start of its read, and polling that stops after an error.
func TestWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, table := newStore(1)
		start := time.Now()
		var got []reading
		failures := 0
		watcher := &Watcher{
			Table:       table,
			ReadTimeout: 900 * time.Millisecond,
			OnRead: func(sentAt time.Time, version uint64, tree *resolver.Tree) {
				seen := reading{After: sentAt.Sub(start), Version: version}
				if tree != nil {
					seen.MaxTasks = *tree.Firms["lamis"].Settings.MaxTasks
				}
				got = append(got, seen)
			},
			OnError: func(error) { failures++ },
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return watcher.Run(ctx) })

		// Reads are due at each multiple of 500 ms; the steps run in between.
		time.Sleep(750 * time.Millisecond)
		old := table.row(headKey)
		mustChange(store, editOf(1, ""))
		present := table.row(headKey)
		steps := []func(){
			func() { table.rows[headKey] = old },
			func() { table.rows[headKey] = present },
			func() { table.failReads = true },
			func() { table.failReads, table.hangReads = false, true },
			func() { table.hangReads = false },
			func() { table.rows[headKey] = storer.Row{Key: headKey, Value: []byte("{"), Revision: 9, Token: "x"} },
			func() { table.rows[headKey] = present },
		}
		for _, step := range steps {
			time.Sleep(500 * time.Millisecond)
			table.lockedDo(step)
		}
		mustChange(store, editOf(2, ""))
		time.Sleep(500 * time.Millisecond)
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("Run returned %v after its context ended", err)
		}
		want := []reading{{0, 1, 1}, {500, 1, 0}, {1000, 2, 2}, {1500, 1, 0}, {2000, 2, 0}, {4500, 3, 3}}
		for i := range want {
			want[i].After *= time.Millisecond
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("readings (-want +got):\n%s", diff)
		}
		// An outage at 2.5 s, a read from 3 s that hangs until 3.9 s, and two
		// damaged rows at 3.9 s and 4 s.
		if failures != 4 {
			t.Errorf("%d failures, want 4", failures)
		}
	})
}

func (f *fakeTable) row(key string) storer.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[key]
}

func (f *fakeTable) lockedDo(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}
