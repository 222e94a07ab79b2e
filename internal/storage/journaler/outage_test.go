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

// countedTable counts the write calls, also those that fail.
type countedTable struct {
	storer.Table
	writes atomic.Int64
}

func (t *countedTable) Write(ctx context.Context, puts []storer.Put, atomic bool) ([]storer.PutResult, error) {
	t.writes.Add(1)
	return t.Table.Write(ctx, puts, atomic)
}

// Guards against an outage that costs a transaction per row and try, against
// rows that return late from it, and against lost outcomes.
func TestOutageIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length, perSecond = 60 * time.Second, 20
		keeper := newKeeper()
		table := &countedTable{Table: keeper}
		journal, events := startOn(t, table, "e1~1")
		keeper.SetFaults(tableserver.Faults{Down: true})
		for i := range int(length.Seconds()) * perSecond {
			journal.CommitIntent(intent(i, "e1~1"))
			journal.CommitOutcome(outcome(i, "first"))
			time.Sleep(time.Second / perSecond)
		}
		during := table.writes.Load()
		failed := len(events.recorded())
		keeper.SetFaults(tableserver.Faults{})
		back := time.Now()
		outcomes := int(length.Seconds()) * perSecond
		for len(events.recorded())-failed < outcomes && time.Since(back) < time.Minute {
			time.Sleep(time.Millisecond)
		}
		t.Logf("%d transactions and %d failures reported in the outage, all outcomes written %s after it, %d transactions",
			during, failed, time.Since(back), table.writes.Load()-during)
		if most := int64(length/minProbe) + outageAfter; during > most {
			t.Errorf("%d transactions in the outage, the probes allow %d", during, most)
		}
		if late := time.Since(back); late > time.Second {
			t.Errorf("the outcomes were written %s after the outage", late)
		}
		if failed > outcomes {
			t.Errorf("%d failures reported for %d outcomes", failed, outcomes)
		}
	})
}
