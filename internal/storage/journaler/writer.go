package journaler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// The limits of the backoff between the writes of one row. Intents are retried sooner,
// because they must succeed within RequestTimeout.
const (
	minIntentBackoff  = 25 * time.Millisecond
	maxIntentBackoff  = 250 * time.Millisecond
	minOutcomeBackoff = 100 * time.Millisecond
	maxOutcomeBackoff = time.Second
)

// runWriter runs one transaction after another.
func (j *Journal) runWriter(ctx context.Context, wake <-chan struct{}) error {
	for {
		ready, next := j.readyToWrite()
		if !ready {
			if err := pause(ctx, next, wake); err != nil {
				return err
			}
			continue
		}
		if err := j.writeLimiter.Wait(ctx); err != nil {
			return err
		}
		// Rows that arrived during the wait for the rate limiter join the batch.
		if batch := j.takeBatch(); len(batch) > 0 {
			j.transact(ctx, batch)
		}
	}
}

// readyToWrite reports whether a transaction may start now. If not, next is when to check
// again; zero means at the next signal.
func (j *Journal) readyToWrite() (ready bool, next time.Time) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	if ok, next := j.outage.mayWrite(now); !ok {
		return false, next
	}
	for _, queue := range [][]*item{j.intents, j.outcomes} {
		for _, it := range queue {
			if !it.notBefore.After(now) {
				return true, next
			}
			if next.IsZero() || it.notBefore.Before(next) {
				next = it.notBefore
			}
		}
	}
	if due := j.sweep.nextRemovalWrite(); !due.IsZero() && (next.IsZero() || due.Before(next)) {
		return !due.After(now), due
	}
	return false, next
}

func (j *Journal) takeBatch() []*item {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	if ok, _ := j.outage.mayWrite(now); !ok {
		return nil
	}
	batch := takeDue(&j.intents, nil, j.MaxRows, now)
	batch = takeDue(&j.outcomes, batch, j.MaxRows, now)
	batch = j.addDueRemovals(batch, now)
	j.outage.probing = j.outage.down() && len(batch) > 0
	return batch
}

// takeDue moves due items from the queue to the batch and drops items that are done. The
// batch is limited in rows and in bytes; its first row may be of any size.
func takeDue(queue *[]*item, batch []*item, limit int, now time.Time) []*item {
	size := 0
	for _, it := range batch {
		size += it.size
	}
	var kept []*item
	for _, it := range *queue {
		excluded := len(batch) > 0 && (len(batch) >= limit || it.part != batch[0].part || size+it.size > maxBatchBytes)
		switch {
		case it.done:
		case excluded || it.notBefore.After(now):
			kept = append(kept, it)
		default:
			batch = append(batch, it)
			size += it.size
		}
	}
	*queue = kept
	return batch
}

func (j *Journal) transact(ctx context.Context, batch []*item) {
	puts, counts, err := encode(batch)
	if err != nil {
		j.Logger.Error("cannot encode row for transaction", zap.Error(err))
	}
	call, cancel := context.WithTimeout(ctx, j.CallTimeout)
	defer cancel()
	results, err := j.Table.Write(call, puts, false)
	j.Metrics.Counter("journal_transactions").Inc(1)
	j.recordTransaction(err)
	if err != nil {
		j.Logger.Warn("transaction failed; its rows are retried unless the table refuses them", zap.Int("rows", len(batch)), zap.Error(err))
		j.retry(ctx, batch, err)
		return
	}
	j.Metrics.Counter("journal_rows").Inc(int64(len(batch)))
	for i, it := range batch {
		j.applyResult(it, results[0])
		results = results[counts[i]:]
	}
	j.signal()
}

func (j *Journal) applyResult(it *item, result storer.PutResult) {
	switch it.kind {
	case outcomeItem:
		j.reportOutcome(it, result)
		return
	case removalItem:
		j.Metrics.Counter("journal_removed").Inc(1)
		return
	case intentItem, lookupItem:
	}
	row, err := decodeRow[coordinator.IntentRow](result.Row)
	switch {
	case err != nil:
		j.reportRefused(it, err)
	case result.Applied:
		j.recordIntent(it.key, result.Row.Revision)
		j.finish(it, coordinator.IntentSettled{Key: it.key, Row: row})
	default:
		if row.Owner == j.Writer {
			j.recordIntent(it.key, result.Row.Revision)
		}
		j.lookUpOutcome(it, row)
	}
}

// reportOutcome reports the outcome row that the table holds, whichever entry wrote it.
func (j *Journal) reportOutcome(it *item, result storer.PutResult) {
	outcome, err := decodeRow[messenger.Outcome](result.Row)
	if err != nil {
		// A retry would find the same row.
		j.reportRefused(it, err)
		return
	}
	if result.Applied {
		j.scheduleRemoval(it.key, result.Row.Revision)
	}
	j.Emit(coordinator.OutcomeSettled{Key: it.key, Outcome: outcome})
}

// finish reports the result of an intent or a lookup unless it was already reported as
// failed at its deadline.
func (j *Journal) finish(it *item, event coordinator.IntentSettled) {
	j.mu.Lock()
	late := it.done
	it.done = true
	j.mu.Unlock()
	if !late {
		j.Emit(event)
	}
}
