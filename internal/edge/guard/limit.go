package guard

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// limit is a bound that a client has met.
type limit int

const (
	limitConnections limit = iota
	limitMemory
	limitShed
	limitHeaderBytes
	limitHeaderFields
	limitBodyBytes
	limitBodyValues
	limitBodyDepth
	limitReadRate
	limitWriteRate
	limitDiscard
	limitCount
)

var limitNames = [limitCount]string{
	"connections", "memory", "shed", "header_bytes", "header_fields", "body_bytes", "body_values",
	"body_depth", "read_rate", "write_rate", "discard",
}

// logInterval is the minimum time between two log lines of a listener about one limit.
const logInterval = time.Second

// limitMeter counts the events of one limit at one listener.
type limitMeter struct {
	counter tally.Counter
	// loggedAt is the time of the last log line in nanoseconds; 0 means none so far.
	loggedAt atomic.Int64
	unlogged atomic.Int64
}

type limitMeters [limitCount]limitMeter

func (m *limitMeters) prepare(scope tally.Scope, listener string) {
	for i := range m {
		tags := map[string]string{"listener": listener, "limit": limitNames[i]}
		m[i].counter = scope.Tagged(tags).Counter("guard_limited")
	}
}

// met counts that a client has met a limit, and logs it at most once per logInterval.
func (l *Listener) met(which limit, peer string, value int64) {
	meter := &l.limits[which]
	meter.counter.Inc(1)
	now := int64(l.guard.now())
	last := meter.loggedAt.Load()
	if last != 0 && now-last < int64(logInterval) || !meter.loggedAt.CompareAndSwap(last, max(1, now)) {
		meter.unlogged.Add(1)
		return
	}
	l.guard.Logger.Warn("client met a limit of the guard", zap.String("listener", l.name),
		zap.String("limit", limitNames[which]), zap.String("peer", peer), zap.Int64("value", value),
		zap.Int64("unlogged", meter.unlogged.Swap(0)))
}
