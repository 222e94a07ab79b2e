package journaler

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// retry handles the rows of a failed transaction. If the table gave no answer, the rows
// are queued again with the same tokens. If the table refused the transaction, a batch is
// split and a single row is reported as refused.
func (j *Journal) retry(ctx context.Context, batch []*item, err error) {
	if ctx.Err() != nil {
		return
	}
	refused := !errors.Is(err, storer.ErrUnavailable)
	if refused && len(batch) > 1 {
		j.splitBatch(batch)
		return
	}
	for _, it := range batch {
		switch {
		case refused:
			j.reportRefused(it, err)
		case it.kind == outcomeItem && it.tries == 0:
			j.Emit(coordinator.OutcomeSettled{Key: it.key, Failed: true})
		}
	}
	if !refused {
		j.requeue(batch)
	}
}

// reportRefused reports a row that the table refuses, or whose stored row cannot be
// decoded. The row is not retried.
func (j *Journal) reportRefused(it *item, err error) {
	j.Logger.Error("row refused or undecodable; it is not retried", zap.String("row", it.path), zap.Stringer("submission", it.key), zap.Error(err))
	j.Metrics.Counter("journal_refused").Inc(1)
	if it.kind == removalItem {
		return
	}
	if it.kind == outcomeItem {
		j.Emit(coordinator.OutcomeSettled{Key: it.key, Refused: err.Error()})
		return
	}
	j.finish(it, coordinator.IntentSettled{Key: it.key, Failed: true, Refused: err.Error()})
}

// splitBatch queues the two halves of a refused transaction as splitBatch parts, to isolate
// the row that is refused. There is no backoff, because the table is up.
func (j *Journal) splitBatch(batch []*item) {
	j.mu.Lock()
	half := len(batch) / 2
	for i, it := range batch {
		it.part = j.lastPart + 1
		if i >= half {
			it.part = j.lastPart + 2
		}
		j.enqueue(it)
	}
	j.lastPart += 2
	j.mu.Unlock()
	j.signal()
}

// enqueue requires j.mu.
func (j *Journal) enqueue(it *item) {
	switch {
	case it.done:
	case it.kind == lookupItem:
		j.lookups = append(j.lookups, it)
	case it.kind == intentItem:
		j.intents = append(j.intents, it)
	case it.kind == removalItem:
		j.retryRemoval(it.removal)
	default:
		j.outcomes = append(j.outcomes, it)
	}
}

func (j *Journal) requeue(batch []*item) {
	j.mu.Lock()
	for _, it := range batch {
		it.tries++
		it.notBefore = time.Now().Add(j.backoff(it))
		if j.outage.down() && it.kind != lookupItem {
			it.notBefore = time.Time{}
		}
		j.enqueue(it)
	}
	j.mu.Unlock()
	j.signal()
}

// backoff requires j.mu.
func (j *Journal) backoff(it *item) time.Duration {
	low, high := minIntentBackoff, maxIntentBackoff
	if it.kind == outcomeItem {
		low, high = minOutcomeBackoff, maxOutcomeBackoff
	}
	return j.jitteredDelay(low, high, it.tries-1)
}

// jitteredDelay requires j.mu. The jitter keeps entries from retrying at the same moment
// after an outage.
func (j *Journal) jitteredDelay(low, high time.Duration, doublings int) time.Duration {
	const maxDoublings = 10
	delay := min(high, low<<min(doublings, maxDoublings))
	return max(low, time.Duration(float64(delay)*(0.5+0.5*j.random.Float64())))
}

// lookUpOutcome queues a read of the outcome row of a submission whose intent row was
// already in the table.
func (j *Journal) lookUpOutcome(it *item, row *coordinator.IntentRow) {
	j.mu.Lock()
	it.kind = lookupItem
	it.row = row
	it.notBefore = time.Time{}
	j.lookups = append(j.lookups, it)
	j.mu.Unlock()
	j.signal()
}

// runLookups reads the rows of all queued lookups, one call at a time.
func (j *Journal) runLookups(ctx context.Context) error {
	for {
		batch, next := j.takeLookups()
		if len(batch) == 0 {
			if err := pause(ctx, next, j.wakeLookups); err != nil {
				return err
			}
			continue
		}
		j.readRows(ctx, batch)
	}
}

func (j *Journal) takeLookups() (batch []*item, next time.Time) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	// Each lookup reads up to two rows.
	batch = takeDue(&j.lookups, nil, storer.MaxKeysPerRead/2, now)
	for _, it := range j.lookups {
		if next.IsZero() || it.notBefore.Before(next) {
			next = it.notBefore
		}
	}
	return batch, next
}

func (j *Journal) readRows(ctx context.Context, batch []*item) {
	var keys []string
	for _, it := range batch {
		keys = append(keys, OutcomeKey(it.key))
		if it.row == nil {
			keys = append(keys, IntentKey(it.key))
		}
	}
	call, cancel := context.WithTimeout(ctx, j.CallTimeout)
	defer cancel()
	rows, err := j.Table.Read(call, keys)
	if err != nil {
		j.requeue(batch)
		return
	}
	found := make(map[string]storer.Row, len(rows))
	for _, row := range rows {
		found[row.Key] = row
	}
	for _, it := range batch {
		j.finish(it, lookupResult(it, found))
	}
}

func lookupResult(it *item, found map[string]storer.Row) coordinator.IntentSettled {
	failed := func(err error) coordinator.IntentSettled {
		return coordinator.IntentSettled{Key: it.key, Failed: true, Refused: err.Error()}
	}
	settled := coordinator.IntentSettled{Key: it.key, Row: it.row}
	var err error
	if row, ok := found[IntentKey(it.key)]; ok && it.row == nil {
		if settled.Row, err = decodeRow[coordinator.IntentRow](row); err != nil {
			return failed(err)
		}
	}
	if row, ok := found[OutcomeKey(it.key)]; ok {
		if settled.Outcome, err = decodeRow[messenger.Outcome](row); err != nil {
			return failed(err)
		}
	}
	return settled
}
