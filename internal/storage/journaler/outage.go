package journaler

import (
	"errors"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

const (
	// outageAfter is how many transactions in a row get no answer before the
	// table counts as down. One may only have lost its reply.
	outageAfter = 2
	// minProbe and maxProbe bound the wait between the probes of a table that is
	// down. Ten probes per second and entry are few against its write limit, and
	// all rows follow the first one that succeeds.
	minProbe = 25 * time.Millisecond
	maxProbe = 100 * time.Millisecond
)

// outage is what the last transactions tell about the table. While it is down,
// one transaction at a time probes it: if each row backed off by itself, an outage
// would cost a transaction per row and try, and rows would return late from it.
// It is guarded by the journal's lock.
type outage struct {
	failures  int
	nextProbe time.Time
	probing   bool
}

func (o *outage) down() bool {
	return o.failures >= outageAfter
}

// mayWrite returns whether a transaction may start, else when to ask again; a
// zero time means after the probe in progress.
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

// note takes the result of a transaction. It returns whether the table was down
// and is back.
func (o *outage) note(err error, pause time.Duration) (back bool) {
	o.probing = false
	if !errors.Is(err, storer.ErrUnavailable) {
		back = o.down()
		o.failures = 0
		return back
	}
	o.failures++
	o.nextProbe = time.Now().Add(pause)
	return false
}

// noteTransaction lets all rows go at once when the table is back.
func (j *Journal) noteTransaction(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.outage.note(err, j.jittered(minProbe, maxProbe, j.outage.failures)) {
		return
	}
	for _, queue := range [][]*item{j.intents, j.outcomes} {
		for _, it := range queue {
			it.notBefore = time.Time{}
		}
	}
}
