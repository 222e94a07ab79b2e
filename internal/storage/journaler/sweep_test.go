package journaler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
)

func rowCount(t *testing.T, table *tableserver.Table) int {
	t.Helper()
	rows, err := table.Scan(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	return len(rows)
}

// Guards against rows that are never removed, and against rows that are removed before the
// end of the retention, with and without lost replies.
func TestSettledRowsAreRemovedAfterRetention(t *testing.T) {
	for _, lost := range []float64{0, 0.5} {
		synctest.Test(t, func(t *testing.T) {
			table := newTable()
			journal, events := start(t, table, "e1~1")
			table.SetFaults(tableserver.Faults{LoseReplies: lost})
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
			for _, e := range events.intentEvents() {
				if !e.Failed {
					admitted++
				}
			}
			time.Sleep(DefaultRetention - 2*time.Minute)
			if rows := rowCount(t, table); rows != submissions+submissions {
				t.Errorf("%d rows before the end of the retention", rows)
			}
			time.Sleep(30 * time.Minute)
			if rows := rowCount(t, table); rows != 2*(submissions-admitted) {
				t.Errorf("%d rows left, %d of %d admitted", rows, admitted, submissions)
			}
		})
	}
}

// Guards against a submission that looks unstarted because its outcome row was removed but
// its intent row was not, and against the removal of rows of other entries.
func TestOnlyOwnCompleteSubmissionsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		other, _ := start(t, table, "e2~1")
		journal, _ := start(t, table, "e1~1")
		other.CommitIntent(intent(1, "e2~1"))
		journal.CommitIntent(intent(2, "e1~1"))
		time.Sleep(time.Second)
		// Submission 1 was taken over and submission 2 is not settled; one ticket belongs
		// to this entry and the other to another entry.
		journal.CommitOutcome(outcome(1, "taken over"))
		for _, id := range []string{"t.e1~1.1", "t.e2~1.1"} {
			journal.CommitOutcome(coordinator.CommitOutcome{Outcome: messenger.Outcome{
				Key: messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: id}, Status: messenger.OutcomeFailed,
			}})
		}
		time.Sleep(2 * DefaultRetention)
		rows, err := table.Scan(t.Context(), "")
		if err != nil {
			t.Fatal(err)
		}
		if len(rows) != 4 {
			t.Errorf("rows left: %+v", rows)
		}
		for _, row := range rows {
			if row.Key == OutcomeKey(messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: "t.e1~1.1"}) {
				t.Errorf("%s is left", row.Key)
			}
		}
	})
}

// Guards against the removal of rows that a resubmission after the retention has created
// again.
func TestRecreatedRowsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		journal, events := start(t, table, "e1~1")
		for range 2 {
			journal.CommitIntent(intent(1, "e1~1"))
			time.Sleep(time.Second)
			journal.CommitOutcome(outcome(1, "settled"))
			time.Sleep(DefaultRetention + 2*maxRemovalDelay)
		}
		if n := len(events.intentEvents()); n != 2 || events.intentEvents()[1].Outcome != nil || rowCount(t, table) != 0 {
			t.Errorf("%d admissions, %d rows left", n, rowCount(t, table))
		}
	})
}

// Guards against removals that use up the write limit and so delay admissions, and against
// removals that do not keep up with admissions.
func TestRemovalsDoNotDelayAdmissions(t *testing.T) {
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
