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

func newLeaser(keeper *tableserver.Table, name string, incarnation messenger.Incarnation) (*Leaser, *[]coordinator.Event) {
	events := &[]coordinator.Event{}
	l := &Leaser{Table: keeper, Name: name, Incarnation: incarnation, Address: "127.0.0.1:1"}
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

// Guards against two incarnations of one name that both believe to hold the lease.
func TestNewerIncarnationTakesTheLease(t *testing.T) {
	keeper := &tableserver.Table{}
	old, oldEvents := newLeaser(keeper, "e1", "e1~1")
	renew(t, old, oldEvents, 1)
	young, youngEvents := newLeaser(keeper, "e1", "e1~2")
	if got := renew(t, young, youngEvents, 1); got.Fenced || got.Failed {
		t.Errorf("takeover gave %+v", got)
	}
	if got := renew(t, old, oldEvents, 2); !got.Fenced {
		t.Errorf("old incarnation got %+v", got)
	}
}

// Guards against an older incarnation that takes the row back because the reply
// to its first renewal was lost.
func TestLostFirstReplyDoesNotTakeTheLeaseBack(t *testing.T) {
	keeper := &tableserver.Table{}
	old, oldEvents := newLeaser(keeper, "e1", "e1~1")
	keeper.SetFaults(tableserver.Faults{LoseReplies: 1})
	if got := renew(t, old, oldEvents, 1); !got.Failed {
		t.Errorf("lost reply gave %+v", got)
	}
	keeper.SetFaults(tableserver.Faults{})
	young, youngEvents := newLeaser(keeper, "e1", "e1~2")
	renew(t, young, youngEvents, 1)
	if got := renew(t, old, oldEvents, 2); !got.Fenced {
		t.Errorf("old incarnation got %+v", got)
	}
}

// Guards against a fence of an entry that renewed, and a renewal of a fenced one.
func TestFence(t *testing.T) {
	keeper := &tableserver.Table{}
	target, targetEvents := newLeaser(keeper, "e1", "e1~1")
	other, otherEvents := newLeaser(keeper, "e2", "e2~1")
	stale := renew(t, target, targetEvents, 1).Directory[0]
	row := renew(t, target, targetEvents, 2).Directory[0]
	if got := fence(t, other, otherEvents, stale); !got.Alive {
		t.Errorf("stale fence gave %+v", got)
	}
	keeper.SetFaults(tableserver.Faults{LoseReplies: 1})
	if got := fence(t, other, otherEvents, row); !got.Failed {
		t.Errorf("lost reply gave %+v", got)
	}
	keeper.SetFaults(tableserver.Faults{})
	if diff := cmp.Diff(coordinator.EntryFenced{Owner: "e1~1"}, fence(t, other, otherEvents, row)); diff != "" {
		t.Error(diff)
	}
	if got := renew(t, target, targetEvents, 3); !got.Fenced {
		t.Errorf("fenced entry got %+v", got)
	}
}

// Guards against a directory that grows forever, and against the removal of live
// rows that could not change during an outage.
func TestOldRowsLeaveTheDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := &tableserver.Table{}
		gone, goneEvents := newLeaser(keeper, "e1", "e1~1")
		renew(t, gone, goneEvents, 1)
		live, events := newLeaser(keeper, "e2", "e2~1")
		renew(t, live, events, 1)
		time.Sleep(2 * removeAfter)
		if got := renew(t, live, events, 2); len(got.Directory) != 2 {
			t.Errorf("after an outage: %+v", got)
		}
		for i := range uint64(400) {
			time.Sleep(10 * time.Second)
			renew(t, live, events, 3+i)
		}
		rows, err := keeper.Scan(t.Context(), Prefix)
		if err != nil || len(rows) != 1 {
			t.Errorf("%d rows left, %v", len(rows), err)
		}
	})
}

// Guards against a silent table that blocks all later renewals.
func TestSilentTableFailsTheRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := &tableserver.Table{}
		keeper.SetFaults(tableserver.Faults{Slow: time.Hour})
		l, events := newLeaser(keeper, "e1", "e1~1")
		if got := renew(t, l, events, 1); !got.Failed {
			t.Errorf("got %+v", got)
		}
	})
}
