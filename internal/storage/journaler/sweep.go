package journaler

import (
	"fmt"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

const (
	// DefaultRetention is how long the rows of a settled submission are kept.
	// A resubmission within the retention gets the first outcome; a later one runs
	// again.
	DefaultRetention = 24 * time.Hour
	// maxScheduledRemovals limits the submissions that are scheduled for removal, at
	// about 150 bytes of memory each. The rows of further submissions stay in the table.
	maxScheduledRemovals = 250_000
	// removalsPerWrite is how many removals may be added to a transaction with other
	// rows.
	removalsPerWrite = 64
	// maxRemovalDelay is how long a due removal waits for such a transaction before a
	// transaction is started for removals alone.
	maxRemovalDelay = time.Minute
)

// sweep holds the settled submissions of this incarnation until their rows are removed.
// It is guarded by Journal.mu.
type sweep struct {
	// intentRevisions holds the revisions of the intent rows without an outcome row.
	intentRevisions map[messenger.SubmissionKey]uint64
	// scheduled and retries are sorted by due time. retries holds the removals whose
	// transaction failed.
	scheduled []removal
	retries   []removal
}

// removal is the deletion of the rows of a submission at the given revisions. A ticket
// has no intent row; its intentRevision is 0.
type removal struct {
	key             messenger.SubmissionKey
	due             time.Time
	intentRevision  uint64
	outcomeRevision uint64
}

// recordIntent stores the revision of an intent row whose owner is this incarnation.
func (j *Journal) recordIntent(key messenger.SubmissionKey, revision uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.sweep.intentRevisions == nil {
		j.sweep.intentRevisions = make(map[messenger.SubmissionKey]uint64)
	}
	j.sweep.intentRevisions[key] = revision
}

// scheduleRemoval schedules the removal of the rows of a submission whose outcome row
// this incarnation has written. If the revision of the intent row is not known, only the
// outcome of a ticket of this incarnation may be removed: an intent row without an
// outcome row would look like a submission that was never started, or whose owner was
// lost.
func (j *Journal) scheduleRemoval(key messenger.SubmissionKey, outcomeRevision uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	intentRevision, intentKnown := j.sweep.intentRevisions[key]
	delete(j.sweep.intentRevisions, key)
	owner, isTicket := coordinator.TicketOwner(key.ID)
	if j.Retention < 0 || !intentKnown && (!isTicket || owner != j.Writer) {
		return
	}
	if len(j.sweep.scheduled) >= maxScheduledRemovals {
		j.Metrics.Counter("journal_rows_left").Inc(1)
		return
	}
	j.sweep.scheduled = append(j.sweep.scheduled, removal{
		key: key, due: time.Now().Add(j.Retention), intentRevision: intentRevision, outcomeRevision: outcomeRevision,
	})
}

// addDueRemovals adds due removals to a transaction as long as they fit. A transaction
// with other rows gets at most removalsPerWrite.
func (j *Journal) addDueRemovals(batch []*item, now time.Time) []*item {
	if len(batch) > 0 && batch[0].part != 0 {
		return batch
	}
	capacity := (j.MaxRows - len(batch)) / rowsPerRemoval
	if len(batch) > 0 {
		capacity = min(capacity, removalsPerWrite)
	}
	for _, queue := range []*[]removal{&j.sweep.retries, &j.sweep.scheduled} {
		for ; capacity > 0 && len(*queue) > 0 && !(*queue)[0].due.After(now); capacity-- {
			batch = append(batch, &item{kind: removalItem, token: j.nextToken(), removal: (*queue)[0]})
			*queue = (*queue)[1:]
		}
	}
	return batch
}

// retryRemoval requires j.mu. A repeated removal may have a new token, because a removal
// counts as applied if the row is gone.
func (j *Journal) retryRemoval(r removal) {
	r.due = time.Now()
	j.sweep.retries = append(j.sweep.retries, r)
}

// nextRemovalWrite returns when a transaction is started for removals alone; zero means
// that there are no removals.
func (s *sweep) nextRemovalWrite() (next time.Time) {
	for _, queue := range [][]removal{s.retries, s.scheduled} {
		if len(queue) > 0 && (next.IsZero() || queue[0].due.Before(next)) {
			next = queue[0].due
		}
	}
	if next.IsZero() {
		return next
	}
	return next.Add(maxRemovalDelay)
}

// rowsPerRemoval is the maximum number of rows that one removal deletes.
const rowsPerRemoval = 2

// puts returns the deletions of both rows for one transaction. The expected revisions
// keep a row that was created again from being removed.
func (r removal) puts(token string) []storer.Put {
	puts := []storer.Put{{Key: OutcomeKey(r.key), Expected: r.outcomeRevision, Token: token, Delete: true}}
	if r.intentRevision > 0 {
		puts = append(puts, storer.Put{Key: IntentKey(r.key), Expected: r.intentRevision, Token: token, Delete: true})
	}
	return puts
}

// encode returns the row writes of a batch and how many belong to each item.
func encode(batch []*item) (puts []storer.Put, counts []int, err error) {
	for _, it := range batch {
		if it.kind == removalItem {
			own := it.removal.puts(it.token)
			puts, counts = append(puts, own...), append(counts, len(own))
			continue
		}
		put, putErr := it.put()
		if putErr != nil {
			err = fmt.Errorf("encode batch: %w", putErr)
		}
		puts, counts = append(puts, put), append(counts, 1)
	}
	return puts, counts, err
}
