// Package journaler writes intent and outcome rows to the platform's table with
// group commit.
//
// Rows that arrive while a transaction is in progress go out together in the
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

// The defaults of a Journal.
const (
	DefaultPatience    = 2 * time.Second
	DefaultCallTimeout = 500 * time.Millisecond
	DefaultMaxRows     = storer.MaxPutsPerWrite
)

const (
	// writers is how many transactions may be in progress at a time.
	writers = 2
	// burst lets a lone write start at once while another is in progress.
	burst = 2
	// maxBatchBytes keeps the body of a transaction, in which values are base64,
	// below the table's limit of 16 MiB.
	maxBatchBytes = 8 << 20
)

// Journal commits rows. Its exported fields are set before Run.
type Journal struct {
	Table storer.Table
	// Writer makes the write tokens unique; it is the incarnation of this entry.
	Writer messenger.Incarnation
	// WritesPerSecond bounds the transactions; zero means no bound.
	WritesPerSecond float64
	// Patience bounds the time until an intent or a read is reported as failed.
	Patience time.Duration
	// CallTimeout bounds one call of the table.
	CallTimeout time.Duration
	// Retention is how long the rows of settled submissions are kept; 0 means
	// DefaultRetention, and less than 0 for ever.
	Retention time.Duration
	// MaxRows bounds the rows of one transaction.
	MaxRows int
	// Seed seeds the jitter of the backoff.
	Seed uint64
	// Emit receives the events. It is called from several goroutines.
	Emit    func(coordinator.Event)
	Logger  *zap.Logger
	Metrics tally.Scope

	once   sync.Once
	budget *rate.Limiter
	wake   [writers]chan struct{}
	read   chan struct{}
	expire chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	sequence uint64
	parts    uint64
	intents  []*item
	outcomes []*item
	lookups  []*item
	expiry   []*item
	outage   outage
	sweep    sweep
}

// CommitIntent queues the creation of an intent row.
func (j *Journal) CommitIntent(effect coordinator.CommitIntent) {
	j.prepare()
	row := effect.Row
	it := &item{kind: intentItem, key: row.Key, path: IntentKey(row.Key), body: row}
	j.mu.Lock()
	j.addBounded(it)
	j.intents = append(j.intents, it)
	j.mu.Unlock()
	j.signal()
}

// ReadIntent queues a read of the intent and the outcome row.
func (j *Journal) ReadIntent(effect coordinator.ReadIntent) {
	j.prepare()
	it := &item{kind: lookupItem, key: effect.Key}
	j.mu.Lock()
	j.addBounded(it)
	j.lookups = append(j.lookups, it)
	j.mu.Unlock()
	j.signal()
}

// CommitOutcome queues the creation of an outcome row. It is tried until it
// succeeds, the table refuses it or Run ends.
func (j *Journal) CommitOutcome(effect coordinator.CommitOutcome) {
	j.prepare()
	outcome := effect.Outcome
	it := &item{
		kind: outcomeItem, key: outcome.Key, path: OutcomeKey(outcome.Key), body: outcome, size: outcomeSize(outcome),
	}
	j.mu.Lock()
	it.token = j.token()
	j.outcomes = append(j.outcomes, it)
	j.mu.Unlock()
	j.signal()
}

// Run commits rows until ctx ends. Rows that are then still queued are dropped.
func (j *Journal) Run(ctx context.Context) error {
	j.prepare()
	group, ctx := errgroup.WithContext(ctx)
	for i := range writers {
		group.Go(func() error { return j.write(ctx, j.wake[i]) })
	}
	group.Go(func() error { return j.lookUp(ctx) })
	group.Go(func() error { return j.watchPatience(ctx) })
	if err := group.Wait(); !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run journal: %w", err)
	}
	return nil
}

func (j *Journal) prepare() {
	j.once.Do(func() {
		if j.Patience == 0 {
			j.Patience = DefaultPatience
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
		j.budget = rate.NewLimiter(limit, burst)
		j.random = rand.New(rand.NewPCG(j.Seed, 2))
		j.read = make(chan struct{}, 1)
		j.expire = make(chan struct{}, 1)
		for i := range j.wake {
			j.wake[i] = make(chan struct{}, 1)
		}
	})
}

// addBounded runs with the lock held. All deadlines are Patience after arrival,
// so expiry is in the order of the deadlines.
func (j *Journal) addBounded(it *item) {
	it.token = j.token()
	it.deadline = time.Now().Add(j.Patience)
	j.expiry = append(j.expiry, it)
}

func (j *Journal) token() string {
	j.sequence++
	return fmt.Sprintf("%s/%d", j.Writer, j.sequence)
}

func (j *Journal) signal() {
	for _, wake := range []chan struct{}{j.wake[0], j.wake[1], j.read, j.expire} {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// watchPatience reports the items whose patience is over.
func (j *Journal) watchPatience(ctx context.Context) error {
	for {
		due, overdue := j.nextExpiry()
		for _, it := range overdue {
			j.Metrics.Counter("journal_expired").Inc(1)
			j.Emit(coordinator.IntentSettled{Key: it.key, Failed: true})
		}
		if err := pause(ctx, due, j.expire); err != nil {
			return err
		}
	}
}

// nextExpiry returns the next deadline, zero if there is none, and marks the
// overdue items as done.
func (j *Journal) nextExpiry() (due time.Time, overdue []*item) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	for len(j.expiry) > 0 {
		head := j.expiry[0]
		if !head.done && head.deadline.After(now) {
			return head.deadline, overdue
		}
		if !head.done {
			head.done = true
			overdue = append(overdue, head)
		}
		j.expiry = j.expiry[1:]
	}
	return time.Time{}, overdue
}

// pause returns at the given time or when woken; a zero time waits for wake only.
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
