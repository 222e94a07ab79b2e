package launcher

import (
	"testing"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/uber-go/tally/v4"
)

// Guards against a data race when an embedding program calls Snapshot while the entry
// still assembles its services. Only the race detector detects this fault.
func TestSnapshotWhileEntryStarts(t *testing.T) {
	e := &Entry{
		Config:    EntryDefaults(),
		Transport: func(Handler) Transport { return nil },
		Logger:    zap.NewNop(),
		Scope:     tally.NoopScope,
	}
	var group errgroup.Group
	group.Go(func() error {
		_, err := e.assemble()
		return err
	})
	if view := e.Snapshot(); view != nil {
		t.Errorf("got a snapshot with life cycle %q before the entry has run", view.LifeCycle)
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}
