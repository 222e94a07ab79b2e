// Package journaler writes intent and outcome rows to the platform's table with
// group commit.
//
// Rows that arrive while a transaction is in progress are written together in the
// next one, so the number of transactions does not grow with the number of jobs.
package journaler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// Defaults of the fields of a Journal.
const (
	DefaultRequestTimeout = 2 * time.Second
	DefaultCallTimeout    = 500 * time.Millisecond
	DefaultMaxRows        = storer.MaxPutsPerWrite
)

const (
	// writerCount is how many transactions may be in progress at a time.
	writerCount = 2
	// writeBurst is the burst size of the rate limiter in transactions: a single
	// write may start at once while another is in progress.
	writeBurst = 2
	// maxBatchBytes limits the estimated size of the rows of a transaction. It keeps
	// the request body, in which values are base64, below the table's limit of 16 MiB.
	maxBatchBytes = 8 << 20
)

// Journal commits rows. Its exported fields are set before Run.
type Journal struct {
	Table storer.Table
	// Writer makes the write tokens unique; it is the incarnation of this entry.
	Writer messenger.Incarnation
	// WritesPerSecond limits the rate of transactions; zero means no limit.
	WritesPerSecond float64
	// RequestTimeout is the time after which an intent or a read that has no result
	// is reported as failed.
	RequestTimeout time.Duration
	// CallTimeout limits the duration of one call to the table.
	CallTimeout time.Duration
	// Retention is how long the rows of settled submissions are kept; 0 means
	// DefaultRetention, and a negative value means forever.
	Retention time.Duration
	// MaxRows limits the number of rows in one transaction.
	MaxRows int
	// Seed seeds the random jitter of the backoff.
	Seed uint64
	// Emit receives the events. It is called from several goroutines.
	Emit    func(coordinator.Event)
	Logger  *zap.Logger
	Metrics tally.Scope

	once         sync.Once
	writeLimiter *rate.Limiter
	wakeWriters  [writerCount]chan struct{}
	wakeLookups  chan struct{}
	wakeExpiry   chan struct{}

	mu         sync.Mutex
	random     *rand.Rand
	sequence   uint64
	lastPart   uint64
	intents    []*item
	outcomes   []*item
	lookups    []*item
	byDeadline []*item
	outage     outage
	sweep      sweep
}

// CommitIntent queues the creation of an intent row.
func (j *Journal) CommitIntent(effect coordinator.CommitIntent) {
	j.prepare()
	row := effect.Row
	it := &item{kind: intentItem, key: row.Key, path: IntentKey(row.Key), body: row}
	j.mu.Lock()
	j.addWithDeadline(it)
	j.intents = append(j.intents, it)
	j.mu.Unlock()
	j.signal()
}

// ReadIntent queues a read of the intent row and the outcome row of a submission.
func (j *Journal) ReadIntent(effect coordinator.ReadIntent) {
	j.prepare()
	it := &item{kind: lookupItem, key: effect.Key}
	j.mu.Lock()
	j.addWithDeadline(it)
	j.lookups = append(j.lookups, it)
	j.mu.Unlock()
	j.signal()
}

// CommitOutcome queues the creation of an outcome row. The write is retried until it
// succeeds, the table refuses it or Run ends.
func (j *Journal) CommitOutcome(effect coordinator.CommitOutcome) {
	j.prepare()
	outcome := effect.Outcome
	it := &item{
		kind: outcomeItem, key: outcome.Key, path: OutcomeKey(outcome.Key), body: outcome, size: outcomeSize(outcome),
	}
	j.mu.Lock()
	it.token = j.nextToken()
	j.outcomes = append(j.outcomes, it)
	j.mu.Unlock()
	j.signal()
}

// Run commits rows until ctx ends. Rows that are still queued then are dropped.
func (j *Journal) Run(ctx context.Context) error {
	j.prepare()
	group, ctx := errgroup.WithContext(ctx)
	for i := range writerCount {
		group.Go(func() error { return j.runWriter(ctx, j.wakeWriters[i]) })
	}
	group.Go(func() error { return j.runLookups(ctx) })
	group.Go(func() error { return j.reportExpired(ctx) })
	if err := group.Wait(); !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run journal: %w", err)
	}
	return nil
}

func (j *Journal) prepare() {
	j.once.Do(func() {
		if j.RequestTimeout == 0 {
			j.RequestTimeout = DefaultRequestTimeout
		}
		if j.CallTimeout == 0 {
			j.CallTimeout = DefaultCallTimeout
		}
		if j.Retention == 0 {
			j.Retention = DefaultRetention
		}
		if j.MaxRows == 0 {
			j.MaxRows = DefaultMaxRows
		}
		if j.Logger == nil {
			j.Logger = zap.NewNop()
		}
		if j.Metrics == nil {
			j.Metrics = tally.NoopScope
		}
		limit := rate.Inf
		if j.WritesPerSecond > 0 {
			limit = rate.Limit(j.WritesPerSecond)
		}
		j.writeLimiter = rate.NewLimiter(limit, writeBurst)
		j.random = rand.New(rand.NewPCG(j.Seed, 2))
		j.wakeLookups = make(chan struct{}, 1)
		j.wakeExpiry = make(chan struct{}, 1)
		for i := range j.wakeWriters {
			j.wakeWriters[i] = make(chan struct{}, 1)
		}
	})
}

// addWithDeadline requires j.mu. Every deadline is RequestTimeout after the arrival of
// the item, so byDeadline is sorted by deadline.
func (j *Journal) addWithDeadline(it *item) {
	it.token = j.nextToken()
	it.deadline = time.Now().Add(j.RequestTimeout)
	j.byDeadline = append(j.byDeadline, it)
}

func (j *Journal) nextToken() string {
	j.sequence++
	return fmt.Sprintf("%s/%d", j.Writer, j.sequence)
}

func (j *Journal) signal() {
	for _, wake := range []chan struct{}{j.wakeWriters[0], j.wakeWriters[1], j.wakeLookups, j.wakeExpiry} {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// reportExpired reports the items whose deadline has passed as failed.
func (j *Journal) reportExpired(ctx context.Context) error {
	for {
		due, overdue := j.nextDeadline()
		for _, it := range overdue {
			j.Metrics.Counter("journal_expired").Inc(1)
			j.Emit(coordinator.IntentSettled{Key: it.key, Failed: true})
		}
		if err := pause(ctx, due, j.wakeExpiry); err != nil {
			return err
		}
	}
}

// nextDeadline returns the next deadline, zero if there is none, and the overdue
// items, which it marks as done.
func (j *Journal) nextDeadline() (due time.Time, overdue []*item) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	for len(j.byDeadline) > 0 {
		head := j.byDeadline[0]
		if !head.done && head.deadline.After(now) {
			return head.deadline, overdue
		}
		if !head.done {
			head.done = true
			overdue = append(overdue, head)
		}
		j.byDeadline = j.byDeadline[1:]
	}
	return time.Time{}, overdue
}

// pause waits until the given time or a signal on wake, whichever is first. With a zero
// time it waits for the signal only.
func pause(ctx context.Context, until time.Time, wake <-chan struct{}) error {
	var elapsed <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-elapsed:
		return nil
	case <-wake:
		return nil
	}
}
