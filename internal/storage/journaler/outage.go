package journaler

import (
	"errors"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

const (
	// outageThreshold is how many consecutive transactions get no answer before the
	// table counts as down. A single one may only have lost its reply.
	outageThreshold = 2
	// minProbeInterval and maxProbeInterval limit the wait between probes of a table
	// that is down. Ten probes per second and entry are few compared with its write
	// limit, and all rows are written after the first probe that succeeds.
	minProbeInterval = 25 * time.Millisecond
	maxProbeInterval = 100 * time.Millisecond
)

// outage tracks from the results of transactions whether the table is down. While the
// table is down, one transaction at a time probes it: with a backoff per row, an outage
// would cost a transaction for each retry of each row, and rows would be written late
// after the outage. It is guarded by Journal.mu.
type outage struct {
	failures  int
	nextProbe time.Time
	probing   bool
}

func (o *outage) down() bool {
	return o.failures >= outageThreshold
}

// mayWrite reports whether a transaction may start. If not, next is when to check again;
// zero means after the probe in progress.
func (o *outage) mayWrite(now time.Time) (ok bool, next time.Time) {
	switch {
	case !o.down():
		return true, next
	case o.probing:
		return false, next
	case o.nextProbe.After(now):
		return false, o.nextProbe
	}
	return true, next
}

// record updates the state with the result of a transaction. It reports whether the table
// was down and has recovered; delay is the wait before the next probe.
func (o *outage) record(err error, delay time.Duration) (recovered bool) {
	o.probing = false
	if !errors.Is(err, storer.ErrUnavailable) {
		recovered = o.down()
		o.failures = 0
		return recovered
	}
	o.failures++
	o.nextProbe = time.Now().Add(delay)
	return false
}

// recordTransaction records the result of a transaction. When the table has recovered,
// all queued rows become due at once.
func (j *Journal) recordTransaction(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.outage.record(err, j.jitteredDelay(minProbeInterval, maxProbeInterval, j.outage.failures)) {
		return
	}
	for _, queue := range [][]*item{j.intents, j.outcomes} {
		for _, it := range queue {
			it.notBefore = time.Time{}
		}
	}
}
