package coordinator

import (
	"testing"
	"time"
)

// Pattern: all entries that callers can reach are stopped at about the same time, so
// that callers go on coming (lamis-ops, hosts stopped two at a time: 60 to 80 callers
// refused while four entries drained).
const (
	drainLoad     = 0.4
	drainSpan     = 8 * time.Second
	drainAt       = 1500 * time.Millisecond
	drainLinger   = 3 * time.Second
	drainPatience = 5 * time.Second
	// drainObjective is that of the longest job: declared times are off by up to 40%.
	drainObjective = taskTime*14/10*16/10 + 60*time.Millisecond
)

// Guards against a planned stop that refuses callers whose jobs would end long before
// it, and against one that admits jobs that it then gives up.
func TestDrainingEntryServesWhatItCan(t *testing.T) {
	for seed := range uint64(3) {
		o := newSimulation(t, seed)
		o.state.Config.DrainLinger, o.state.Config.DrainPatience = drainLinger, drainPatience
		begin := o.now
		o.after(time.Second+drainAt, func() { o.handle(DrainRequested{}) })
		offered := o.run(arrivalPattern{load: drainLoad, span: drainSpan, batch: 1})
		lastAdmitted := begin.Add(time.Second + drainAt + drainPatience - tooLateFactor*drainObjective)
		t.Logf("seed %d: %d offered, %d timely, %d late, %d refused", seed, offered, o.onTime, o.late, o.refused)
		if o.firstRefused.Before(lastAdmitted) {
			t.Errorf("seed %d: a job was refused %v too early", seed, lastAdmitted.Sub(o.firstRefused))
		}
		if o.slowestRefusal > 0 {
			t.Errorf("seed %d: a job was refused %v after it came", seed, o.slowestRefusal)
		}
	}
}
