package journaler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
)

// maxAddedP50 is the target for the median admission time: one synced write of 4 ms plus
// 2 ms.
const maxAddedP50 = 6 * time.Millisecond

// Guards against admissions that wait for more than their own write and the write rate
// limit, and against lost submissions. The time is virtual, so the result does not depend
// on the machine.
func TestAdmissionMeetsTarget(t *testing.T) {
	for _, scenario := range []struct {
		name     string
		perSec   float64
		outcomes bool
	}{
		{"100 jobs/s", 100, false},
		{"200 jobs/s", 200, false},
		{"2000 jobs/s", 2000, false},
		{"2000 jobs/s with outcomes", 2000, true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				admitOnVirtualTime(t, scenario.perSec, scenario.outcomes, 0)
			})
		})
	}
}

// admitOnVirtualTime checks the admission times of two seconds of load and returns how many
// rows are left in the table two seconds after the load.
func admitOnVirtualTime(t *testing.T, perSecond float64, outcomes bool, retention time.Duration) int {
	t.Helper()
	const length = 2 * time.Second
	table := &tableserver.Table{WriteLatency: 4 * time.Millisecond, WritesPerSecond: 300, Seed: 7}
	journal := &Journal{Table: table, Writer: "e1~1", WritesPerSecond: 300, Seed: 7, Retention: retention}
	events := run(t, journal)
	random := rand.New(rand.NewPCG(7, 7))
	sent := map[messenger.SubmissionKey]time.Time{}
	for began := time.Now(); time.Since(began) < length; {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		effect := intent(len(sent), "e1~1")
		sent[effect.Row.Key] = time.Now()
		journal.CommitIntent(effect)
		if outcomes {
			journal.CommitOutcome(outcome(len(sent)-1, "settled"))
		}
	}
	time.Sleep(length)
	var waits []time.Duration
	for _, e := range events.intentEvents() {
		if e.Failed {
			t.Errorf("%s was refused", e.Key)
		}
		waits = append(waits, events.intentSettledAt(e.Key).Sub(sent[e.Key]))
	}
	if len(waits) != len(sent) {
		t.Errorf("%d of %d submissions settled", len(waits), len(sent))
	}
	slices.Sort(waits)
	p50 := waits[len(waits)/2]
	left := rowCount(t, table)
	t.Logf("p50 %s, p99 %s, %d transactions, %d submissions, %d rows left",
		p50, waits[len(waits)*99/100], table.Transactions(), len(sent), left)
	if p50 > maxAddedP50 {
		t.Errorf("added p50 %s, the target is %s", p50, maxAddedP50)
	}
	return left
}
