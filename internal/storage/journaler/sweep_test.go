package journaler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
)

func rowCount(t *testing.T, keeper *tableserver.Table) int {
	t.Helper()
	rows, err := keeper.Scan(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	return len(rows)
}

// Guards against rows that are kept for ever, and against rows that go before
// the horizon of resubmissions, with or without lost replies.
func TestSettledRowsAreRemovedAfterRetention(t *testing.T) {
	for _, lost := range []float64{0, 0.5} {
		synctest.Test(t, func(t *testing.T) {
			keeper := newKeeper()
			journal, events := start(t, keeper, "e1~1")
			keeper.SetFaults(tableserver.Faults{LoseReplies: lost})
			const submissions = 1000
			for i := range submissions {
				journal.CommitIntent(intent(i, "e1~1"))
			}
			time.Sleep(time.Minute)
			for i := range submissions {
				journal.CommitOutcome(outcome(i, "first"))
			}
			time.Sleep(time.Minute)
			admitted := 0
			for _, e := range events.settled() {
				if !e.Failed {
					admitted++
				}
			}
			time.Sleep(DefaultRetention - 2*time.Minute)
			if rows := rowCount(t, keeper); rows != submissions+submissions {
				t.Errorf("%d rows before the end of the retention", rows)
			}
			time.Sleep(30 * time.Minute)
			if rows := rowCount(t, keeper); rows != 2*(submissions-admitted) {
				t.Errorf("%d rows left, %d of %d admitted", rows, admitted, submissions)
			}
		})
	}
}

// Guards against a submission that looks unstarted because its outcome was
// removed and its intent row stays, and against the removal of another's rows.
func TestOnlyOwnCompleteSubmissionsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := newKeeper()
		other, _ := start(t, keeper, "e2~1")
		journal, _ := start(t, keeper, "e1~1")
		other.CommitIntent(intent(1, "e2~1"))
		journal.CommitIntent(intent(2, "e1~1"))
		time.Sleep(time.Second)
		// 1 was taken over, 2 is not settled, the tickets are the own and another's.
		journal.CommitOutcome(outcome(1, "taken over"))
		for _, id := range []string{"t.e1~1.1", "t.e2~1.1"} {
			journal.CommitOutcome(coordinator.CommitOutcome{Outcome: messenger.Outcome{
				Key: messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: id}, Status: messenger.OutcomeFailed,
			}})
		}
		time.Sleep(2 * DefaultRetention)
		rows, err := keeper.Scan(t.Context(), "")
		if err != nil {
			t.Fatal(err)
		}
		if len(rows) != 4 {
			t.Errorf("left are %+v", rows)
		}
		for _, row := range rows {
			if row.Key == OutcomeKey(messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: "t.e1~1.1"}) {
				t.Errorf("%s is left", row.Key)
			}
		}
	})
}

// Guards against the removal of rows that a resubmission after the horizon has
// created anew.
func TestRecreatedRowsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := newKeeper()
		journal, events := start(t, keeper, "e1~1")
		for range 2 {
			journal.CommitIntent(intent(1, "e1~1"))
			time.Sleep(time.Second)
			journal.CommitOutcome(outcome(1, "settled"))
			time.Sleep(DefaultRetention + 2*sweepPatience)
		}
		if n := len(events.settled()); n != 2 || events.settled()[1].Outcome != nil || rowCount(t, keeper) != 0 {
			t.Errorf("%d admissions, %d rows left", n, rowCount(t, keeper))
		}
	})
}

// Guards against removals that take the write budget from admissions, and against
// removals that do not keep up with them.
func TestRemovalsLeaveAdmissionsTheirTime(t *testing.T) {
	const perSecond = 2000
	for _, retention := range []time.Duration{-1, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			left := admitOnVirtualTime(t, perSecond, true, retention)
			// About half of the load is older than the retention when it ends.
			if retention > 0 && left > 3*perSecond {
				t.Errorf("%d rows left", left)
			}
		})
	}
}
