package leaser

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
)

func newLeaser(table *tableserver.Table, name string, incarnation messenger.Incarnation) (*Leaser, *[]coordinator.Event) {
	events := &[]coordinator.Event{}
	l := &Leaser{Table: table, Name: name, Incarnation: incarnation, Address: "127.0.0.1:1"}
	l.Emit = func(event coordinator.Event) { *events = append(*events, event) }
	l.Prepare()
	return l, events
}

func renew(t *testing.T, l *Leaser, events *[]coordinator.Event, renewal uint64) coordinator.LeaseRenewed {
	t.Helper()
	l.renew(t.Context(), coordinator.RenewLease{Renewal: renewal})
	return (*events)[len(*events)-1].(coordinator.LeaseRenewed)
}

func fence(t *testing.T, l *Leaser, events *[]coordinator.Event, row coordinator.EntryRow) coordinator.EntryFenced {
	t.Helper()
	l.fence(t.Context(), coordinator.FenceEntry{Row: row})
	return (*events)[len(*events)-1].(coordinator.EntryFenced)
}

// Guards against two incarnations of one entry that both consider themselves holders of
// the lease.
func TestNewerIncarnationTakesTheLease(t *testing.T) {
	table := &tableserver.Table{}
	old, oldEvents := newLeaser(table, "e1", "e1~1")
	renew(t, old, oldEvents, 1)
	newer, newerEvents := newLeaser(table, "e1", "e1~2")
	if got := renew(t, newer, newerEvents, 1); got.Fenced || got.Failed {
		t.Errorf("takeover gave %+v", got)
	}
	if got := renew(t, old, oldEvents, 2); !got.Fenced {
		t.Errorf("old incarnation got %+v", got)
	}
}

// Guards against an older incarnation that replaces the row of a newer one because the
// reply to its own first renewal was lost.
func TestLostFirstReplyDoesNotTakeTheLeaseBack(t *testing.T) {
	table := &tableserver.Table{}
	old, oldEvents := newLeaser(table, "e1", "e1~1")
	table.SetFaults(tableserver.Faults{LoseReplies: 1})
	if got := renew(t, old, oldEvents, 1); !got.Failed {
		t.Errorf("lost reply gave %+v", got)
	}
	table.SetFaults(tableserver.Faults{})
	newer, newerEvents := newLeaser(table, "e1", "e1~2")
	renew(t, newer, newerEvents, 1)
	if got := renew(t, old, oldEvents, 2); !got.Fenced {
		t.Errorf("old incarnation got %+v", got)
	}
}

// Guards against a fence of an entry that has renewed its row meanwhile, and against a
// renewal of a fenced row.
func TestFence(t *testing.T) {
	table := &tableserver.Table{}
	target, targetEvents := newLeaser(table, "e1", "e1~1")
	other, otherEvents := newLeaser(table, "e2", "e2~1")
	stale := renew(t, target, targetEvents, 1).Directory[0]
	row := renew(t, target, targetEvents, 2).Directory[0]
	if got := fence(t, other, otherEvents, stale); !got.Alive {
		t.Errorf("stale fence gave %+v", got)
	}
	table.SetFaults(tableserver.Faults{LoseReplies: 1})
	if got := fence(t, other, otherEvents, row); !got.Failed {
		t.Errorf("lost reply gave %+v", got)
	}
	table.SetFaults(tableserver.Faults{})
	if diff := cmp.Diff(coordinator.EntryFenced{Owner: "e1~1"}, fence(t, other, otherEvents, row)); diff != "" {
		t.Error(diff)
	}
	if got := renew(t, target, targetEvents, 3); !got.Fenced {
		t.Errorf("fenced entry got %+v", got)
	}
}

// Guards against a directory that grows without limit, and against the removal of rows of
// live entries that could not be renewed during an outage of the table.
func TestUnchangedRowsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &tableserver.Table{}
		gone, goneEvents := newLeaser(table, "e1", "e1~1")
		renew(t, gone, goneEvents, 1)
		live, events := newLeaser(table, "e2", "e2~1")
		renew(t, live, events, 1)
		time.Sleep(2 * unchangedRowRetention)
		if got := renew(t, live, events, 2); len(got.Directory) != 2 {
			t.Errorf("after an outage: %+v", got)
		}
		for i := range uint64(400) {
			time.Sleep(10 * time.Second)
			renew(t, live, events, 3+i)
		}
		rows, err := table.Scan(t.Context(), Prefix)
		if err != nil || len(rows) != 1 {
			t.Errorf("%d rows left, %v", len(rows), err)
		}
	})
}

// Guards against a renewal that blocks all later ones because the table does not answer.
func TestUnresponsiveTableFailsTheRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &tableserver.Table{}
		table.SetFaults(tableserver.Faults{Slow: time.Hour})
		l, events := newLeaser(table, "e1", "e1~1")
		if got := renew(t, l, events, 1); !got.Failed {
			t.Errorf("got %+v", got)
		}
	})
}
