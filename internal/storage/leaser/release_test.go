package leaser

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
)

// Guards against a graceful stop that does not mark the entry's row as released: during an
// outage of the store, the other entries would wait for the stopped entry.
func TestReleaseMarksOwnRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &tableserver.Table{}
		l := &Leaser{Table: table, Name: "entry-1", Incarnation: "entry-1~a", Address: "127.0.0.1:1", Emit: func(coordinator.Event) {}}
		l.Prepare()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- l.Run(ctx) }()
		l.RenewLease(coordinator.RenewLease{Renewal: 1})
		synctest.Wait()
		l.ReleaseLease()
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		rows, err := table.Read(t.Context(), []string{Prefix + "entry-1"})
		if err != nil {
			t.Fatal(err)
		}
		row, err := decode(rows[0])
		if err != nil || !row.Released || !row.Fenced {
			t.Errorf("got %+v, %v; want a released row", row, err)
		}
	})
}
