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
	// Until then a resubmission gets the first outcome; later it runs anew.
	DefaultRetention = 24 * time.Hour
	// maxSwept bounds the submissions that are remembered for removal, at about
	// 150 bytes each. The rows of those beyond it stay in the table.
	maxSwept = 250_000
	// sweptPerWrite is how many removals join a transaction of other rows.
	sweptPerWrite = 64
	// sweepPatience is how long a removal that is due waits for such a
	// transaction before it causes one of its own.
	sweepPatience = time.Minute
)

// sweep remembers the settled submissions of this incarnation until their rows
// are removed. It is guarded by the journal's lock.
type sweep struct {
	// intents holds the revisions of the intent rows whose outcome is awaited.
	intents map[messenger.SubmissionKey]uint64
	// scheduled and again are in the order of their due times; again holds those
	// whose transaction got no answer.
	scheduled []removal
	again     []removal
}

// removal names the rows of a submission by the revisions that are to be deleted.
// A ticket has no intent row; its revision is 0.
type removal struct {
	key             messenger.SubmissionKey
	due             time.Time
	intentRevision  uint64
	outcomeRevision uint64
}

// admitted notes the revision of an intent row that names this incarnation.
func (j *Journal) admitted(key messenger.SubmissionKey, revision uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.sweep.intents == nil {
		j.sweep.intents = make(map[messenger.SubmissionKey]uint64)
	}
	j.sweep.intents[key] = revision
}

// settled schedules the removal of the rows of a submission whose outcome row
// this incarnation has written. Without a known intent row, only the outcome of
// an own ticket may go: an intent row left alone would look like a submission
// that was never started, or whose owner was lost.
func (j *Journal) settled(key messenger.SubmissionKey, outcomeRevision uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	intentRevision, admitted := j.sweep.intents[key]
	delete(j.sweep.intents, key)
	owner, ticket := coordinator.TicketOwner(key.ID)
	if j.Retention < 0 || !admitted && (!ticket || owner != j.Writer) {
		return
	}
	if len(j.sweep.scheduled) >= maxSwept {
		j.Metrics.Counter("journal_rows_left").Inc(1)
		return
	}
	j.sweep.scheduled = append(j.sweep.scheduled, removal{
		key: key, due: time.Now().Add(j.Retention), intentRevision: intentRevision, outcomeRevision: outcomeRevision,
	})
}

// takeRemovals adds removals that are due to a transaction that has room. A
// transaction of removals alone takes as many as fit.
func (j *Journal) takeRemovals(batch []*item, now time.Time) []*item {
	if len(batch) > 0 && batch[0].part != 0 {
		return batch
	}
	room := (j.MaxRows - len(batch)) / rowsPerRemoval
	if len(batch) > 0 {
		room = min(room, sweptPerWrite)
	}
	for _, queue := range []*[]removal{&j.sweep.again, &j.sweep.scheduled} {
		for ; room > 0 && len(*queue) > 0 && !(*queue)[0].due.After(now); room-- {
			batch = append(batch, &item{kind: removalItem, token: j.token(), removal: (*queue)[0]})
			*queue = (*queue)[1:]
		}
	}
	return batch
}

// sweepAgain runs with the lock held. A repeated removal needs no earlier token:
// it counts as applied if the row is gone.
func (j *Journal) sweepAgain(r removal) {
	r.due = time.Now()
	j.sweep.again = append(j.sweep.again, r)
}

// nextSweep returns when removals need a transaction of their own; zero is never.
func (s *sweep) nextSweep() (next time.Time) {
	for _, queue := range [][]removal{s.again, s.scheduled} {
		if len(queue) > 0 && (next.IsZero() || queue[0].due.Before(next)) {
			next = queue[0].due
		}
	}
	if next.IsZero() {
		return next
	}
	return next.Add(sweepPatience)
}

// rowsPerRemoval is how many rows one removal deletes at most.
const rowsPerRemoval = 2

// puts deletes both rows in one transaction. The revisions keep a row that was
// created again from being removed.
func (r removal) puts(token string) []storer.Put {
	puts := []storer.Put{{Key: OutcomeKey(r.key), Expected: r.outcomeRevision, Token: token, Delete: true}}
	if r.intentRevision > 0 {
		puts = append(puts, storer.Put{Key: IntentKey(r.key), Expected: r.intentRevision, Token: token, Delete: true})
	}
	return puts
}

// encode returns the rows of a batch and how many belong to each item.
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
