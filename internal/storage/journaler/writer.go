package journaler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// The bounds of the backoff between the tries of one row. Intents retry sooner,
// because they have only Patience to succeed.
const (
	minIntentBackoff  = 25 * time.Millisecond
	maxIntentBackoff  = 250 * time.Millisecond
	minOutcomeBackoff = 100 * time.Millisecond
	maxOutcomeBackoff = time.Second
)

// write runs one transaction after the other.
func (j *Journal) write(ctx context.Context, wake <-chan struct{}) error {
	for {
		ready, next := j.readyToWrite()
		if !ready {
			if err := pause(ctx, next, wake); err != nil {
				return err
			}
			continue
		}
		if err := j.budget.Wait(ctx); err != nil {
			return err
		}
		// Rows that arrived during the wait for the budget join the batch.
		if batch := j.takeWrites(); len(batch) > 0 {
			j.transact(ctx, batch)
		}
	}
}

// readyToWrite returns whether a row is due, else when the next one is.
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
	if due := j.sweep.nextSweep(); !due.IsZero() && (next.IsZero() || due.Before(next)) {
		return !due.After(now), due
	}
	return false, next
}

func (j *Journal) takeWrites() []*item {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	if ok, _ := j.outage.mayWrite(now); !ok {
		return nil
	}
	batch := take(&j.intents, nil, j.MaxRows, now)
	batch = take(&j.outcomes, batch, j.MaxRows, now)
	batch = j.takeRemovals(batch, now)
	j.outage.probing = j.outage.down() && len(batch) > 0
	return batch
}

// take moves due items from the queue to the batch and drops those that are done.
// A batch is bounded in rows and in bytes; its first row may be of any size.
func take(queue *[]*item, batch []*item, limit int, now time.Time) []*item {
	size := 0
	for _, it := range batch {
		size += it.size
	}
	var kept []*item
	for _, it := range *queue {
		closed := len(batch) > 0 && (len(batch) >= limit || it.part != batch[0].part || size+it.size > maxBatchBytes)
		switch {
		case it.done:
		case closed || it.notBefore.After(now):
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
		j.Logger.Error("row cannot be encoded", zap.Error(err))
	}
	call, cancel := context.WithTimeout(ctx, j.CallTimeout)
	defer cancel()
	results, err := j.Table.Write(call, puts, false)
	j.Metrics.Counter("journal_transactions").Inc(1)
	j.noteTransaction(err)
	if err != nil {
		j.Logger.Warn("transaction failed", zap.Int("rows", len(batch)), zap.Error(err))
		j.retry(ctx, batch, err)
		return
	}
	j.Metrics.Counter("journal_rows").Inc(int64(len(batch)))
	for i, it := range batch {
		j.settle(it, results[0])
		results = results[counts[i]:]
	}
	j.signal()
}

func (j *Journal) settle(it *item, result storer.PutResult) {
	switch it.kind {
	case outcomeItem:
		j.settleOutcome(it, result)
		return
	case removalItem:
		j.Metrics.Counter("journal_removed").Inc(1)
		return
	case intentItem, lookupItem:
	}
	row, err := decodeRow[coordinator.IntentRow](result.Row)
	switch {
	case err != nil:
		j.refuse(it, err)
	case result.Applied:
		j.admitted(it.key, result.Row.Revision)
		j.finish(it, coordinator.IntentSettled{Key: it.key, Row: row})
	default:
		if row.Owner == j.Writer {
			j.admitted(it.key, result.Row.Revision)
		}
		j.lookUpOutcome(it, row)
	}
}

// settleOutcome reports the row in force, ours or another's.
func (j *Journal) settleOutcome(it *item, result storer.PutResult) {
	outcome, err := decodeRow[messenger.Outcome](result.Row)
	if err != nil {
		// Another try would find the same row.
		j.refuse(it, err)
		return
	}
	if result.Applied {
		j.settled(it.key, result.Row.Revision)
	}
	j.Emit(coordinator.OutcomeSettled{Key: it.key, Outcome: outcome})
}

// finish reports an item unless its patience ended first.
func (j *Journal) finish(it *item, event coordinator.IntentSettled) {
	j.mu.Lock()
	late := it.done
	it.done = true
	j.mu.Unlock()
	if !late {
		j.Emit(event)
	}
}
