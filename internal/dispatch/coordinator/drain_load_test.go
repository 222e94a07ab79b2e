package coordinator

import (
	"testing"
	"time"
)

// The load of an entry that drains while callers keep coming, because all entries that
// the callers can reach are stopped at about the same time. In the deployment lamis-ops,
// with hosts stopped two at a time, 60 to 80 callers were refused while four entries
// drained.
const (
	drainLoad        = 0.4
	drainSpan        = 8 * time.Second
	drainAt          = 1500 * time.Millisecond
	drainGracePeriod = 3 * time.Second
	drainTimeout     = 5 * time.Second
	// drainObjective is the objective of the longest job, whose declared run time is 40%
	// longer than taskTime.
	drainObjective = taskTime*14/10*16/10 + 60*time.Millisecond
)

// Guards against a graceful stop that refuses jobs which would end well before the drain
// timeout, and against one that admits jobs and then gives them up.
func TestDrainingEntryServesWhatItCan(t *testing.T) {
	for seed := range uint64(3) {
		o := newSimulation(t, seed)
		o.state.Config.DrainGracePeriod, o.state.Config.DrainTimeout = drainGracePeriod, drainTimeout
		begin := o.now
		o.after(time.Second+drainAt, func() { o.handle(DrainRequested{}) })
		offered := o.run(arrivalPattern{load: drainLoad, span: drainSpan, batch: 1})
		lastAdmitted := begin.Add(time.Second + drainAt + drainTimeout - tooLateFactor*drainObjective)
		t.Logf("seed %d: %d offered, %d on time, %d late, %d refused", seed, offered, o.onTime, o.late, o.refused)
		if o.firstRefused.Before(lastAdmitted) {
			t.Errorf("seed %d: a job was refused %v too early", seed, lastAdmitted.Sub(o.firstRefused))
		}
		if o.slowestRefusal > 0 {
			t.Errorf("seed %d: a job was refused %v after its submission", seed, o.slowestRefusal)
		}
	}
}
