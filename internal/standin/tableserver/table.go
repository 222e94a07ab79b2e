// Package tableserver is a stand-in for the platform's table service. It keeps
// the rows in memory, and is used in process as a storer.Table or over HTTP.
package tableserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// Faults are the faults that a table injects. They can be changed at run time.
type Faults struct {
	// Down makes every call fail with storer.ErrUnavailable.
	Down bool `json:"down"`
	// Slow is added to the latency of every call.
	Slow time.Duration `json:"slow"`
	// LoseReplies is the probability that the reply to a write is lost after the
	// write took effect.
	LoseReplies float64 `json:"lose_replies"`
}

// Table is the in-memory table. Its fields are set before the first call.
type Table struct {
	// WriteLatency is the time of one synced transaction.
	WriteLatency time.Duration
	// ReadLatency is the time of one read or scan.
	ReadLatency time.Duration
	// Jitter is the fraction by which latencies vary in both directions.
	Jitter float64
	// WritesPerSecond and ReadsPerSecond limit the rate of calls; zero means no
	// limit. Calls over the limit wait, except for bursts of up to 50 ms' worth of
	// calls.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Seed seeds the random numbers for jitter and faults.
	Seed uint64

	once         sync.Once
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter

	mu           sync.Mutex
	random       *rand.Rand
	faults       Faults
	rows         map[string]storer.Row
	revisions    map[string]uint64
	transactions uint64
	writeCalls   uint64
}

var _ storer.Table = (*Table)(nil)

func (t *Table) prepare() {
	t.once.Do(func() {
		t.writeLimiter = newLimiter(t.WritesPerSecond)
		t.readLimiter = newLimiter(t.ReadsPerSecond)
		t.random = rand.New(rand.NewPCG(t.Seed, 1))
		t.rows = map[string]storer.Row{}
		t.revisions = map[string]uint64{}
	})
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/20)))
}

// SetFaults replaces the injected faults.
func (t *Table) SetFaults(faults Faults) {
	t.prepare()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Transactions returns how many transactions were executed, including those that
// changed no row because a condition did not hold.
func (t *Table) Transactions() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.transactions
}

// WriteCalls returns how many writes were requested, including those that failed.
func (t *Table) WriteCalls() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writeCalls
}

// Read implements storer.Table.
func (t *Table) Read(ctx context.Context, keys []string) ([]storer.Row, error) {
	if len(keys) > storer.MaxKeysPerRead {
		return nil, fmt.Errorf("read of %d keys, the limit is %d", len(keys), storer.MaxKeysPerRead)
	}
	if err := t.wait(ctx, false); err != nil {
		return nil, err
	}
	sorted := slices.Clone(keys)
	slices.Sort(sorted)
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []storer.Row
	for _, key := range slices.Compact(sorted) {
		if row, ok := t.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Scan implements storer.Table.
func (t *Table) Scan(ctx context.Context, prefix string) ([]storer.Row, error) {
	if err := t.wait(ctx, false); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []storer.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storer.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Write implements storer.Table.
func (t *Table) Write(ctx context.Context, puts []storer.Put, atomic bool) ([]storer.PutResult, error) {
	if err := validatePuts(puts); err != nil {
		return nil, err
	}
	if err := t.wait(ctx, true); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.transactions++
	results := t.execute(puts, atomic)
	if t.random.Float64() < t.faults.LoseReplies {
		return nil, fmt.Errorf("%w: %w", storer.ErrUnavailable, errReplyLost)
	}
	return results, nil
}

func validatePuts(puts []storer.Put) error {
	if len(puts) > storer.MaxPutsPerWrite {
		return fmt.Errorf("transaction of %d rows, the limit is %d", len(puts), storer.MaxPutsPerWrite)
	}
	for _, put := range puts {
		switch {
		case put.Key == "" || len(put.Key) > storer.MaxKeyBytes:
			return fmt.Errorf("key of %d bytes, allowed are 1 to %d", len(put.Key), storer.MaxKeyBytes)
		case len(put.Value) > storer.MaxValueBytes:
			return fmt.Errorf("row %s has %d bytes, the limit is %d", put.Key, len(put.Value), storer.MaxValueBytes)
		case put.Token == "":
			return fmt.Errorf("row %s has no token", put.Key)
		}
	}
	return nil
}

// execute applies the puts whose condition holds; an atomic transaction is applied as
// a whole or not at all. The caller holds t.mu.
func (t *Table) execute(puts []storer.Put, atomic bool) []storer.PutResult {
	if atomic && slices.ContainsFunc(puts, func(put storer.Put) bool { return !t.conditionHolds(put) && !t.isApplied(put) }) {
		return t.currentResults(puts)
	}
	results := make([]storer.PutResult, len(puts))
	for i, put := range puts {
		if t.conditionHolds(put) && !t.isApplied(put) {
			t.apply(put)
		}
		results[i] = storer.PutResult{Applied: t.isApplied(put), Row: t.rows[put.Key]}
	}
	return results
}

func (t *Table) currentResults(puts []storer.Put) []storer.PutResult {
	results := make([]storer.PutResult, len(puts))
	for i, put := range puts {
		results[i] = storer.PutResult{Applied: t.isApplied(put), Row: t.rows[put.Key]}
	}
	return results
}

func (t *Table) conditionHolds(put storer.Put) bool {
	return t.rows[put.Key].Revision == put.Expected
}

// isApplied reports whether the table holds the state that put writes. That includes
// a put that an earlier call has applied, which its token shows.
func (t *Table) isApplied(put storer.Put) bool {
	row, ok := t.rows[put.Key]
	if put.Delete {
		return !ok
	}
	return ok && row.Token == put.Token
}

func (t *Table) apply(put storer.Put) {
	if put.Delete {
		delete(t.rows, put.Key)
		return
	}
	t.revisions[put.Key]++
	t.rows[put.Key] = storer.Row{
		Key:      put.Key,
		Value:    slices.Clone(put.Value),
		Revision: t.revisions[put.Key],
		Token:    put.Token,
	}
}

// wait delays a call by the rate limit and the latency, or fails it if the table is
// set down.
func (t *Table) wait(ctx context.Context, write bool) error {
	t.prepare()
	limiter, latency := t.readLimiter, t.ReadLatency
	if write {
		limiter, latency = t.writeLimiter, t.WriteLatency
	}
	faults, factor := t.beginCall(write)
	if faults.Down {
		return fmt.Errorf("%w: the stand-in is set down", storer.ErrUnavailable)
	}
	if err := limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
	}
	timer := time.NewTimer(time.Duration(float64(latency)*factor) + faults.Slow)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, ctx.Err())
	}
}

// beginCall counts a write, and returns the injected faults and the random factor of
// the call's latency.
func (t *Table) beginCall(write bool) (Faults, float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if write {
		t.writeCalls++
	}
	return t.faults, 1 + t.Jitter*(2*t.random.Float64()-1)
}
