package journaler

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// countedTable counts the write calls, including those that fail.
type countedTable struct {
	storer.Table
	writes atomic.Int64
}

func (t *countedTable) Write(ctx context.Context, puts []storer.Put, atomic bool) ([]storer.PutResult, error) {
	t.writes.Add(1)
	return t.Table.Write(ctx, puts, atomic)
}

// Guards against an outage of the table that costs a transaction for each retry of each
// row, against rows that are written late after the outage, and against lost outcomes.
func TestOutageIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length, perSecond = 60 * time.Second, 20
		table := newTable()
		counted := &countedTable{Table: table}
		journal, events := startOn(t, counted, "e1~1")
		table.SetFaults(tableserver.Faults{Down: true})
		for i := range int(length.Seconds()) * perSecond {
			journal.CommitIntent(intent(i, "e1~1"))
			journal.CommitOutcome(outcome(i, "first"))
			time.Sleep(time.Second / perSecond)
		}
		writesInOutage := counted.writes.Load()
		failed := len(events.outcomeEvents())
		table.SetFaults(tableserver.Faults{})
		recoveredAt := time.Now()
		outcomes := int(length.Seconds()) * perSecond
		for len(events.outcomeEvents())-failed < outcomes && time.Since(recoveredAt) < time.Minute {
			time.Sleep(time.Millisecond)
		}
		t.Logf("%d transactions and %d failures reported in the outage, all outcomes written %s after it, %d transactions",
			writesInOutage, failed, time.Since(recoveredAt), counted.writes.Load()-writesInOutage)
		if maxWrites := int64(length/minProbeInterval) + outageThreshold; writesInOutage > maxWrites {
			t.Errorf("%d transactions in the outage, the probes allow %d", writesInOutage, maxWrites)
		}
		if delay := time.Since(recoveredAt); delay > time.Second {
			t.Errorf("the outcomes were written %s after the outage", delay)
		}
		if failed > outcomes {
			t.Errorf("%d failures reported for %d outcomes", failed, outcomes)
		}
	})
}
