// Package tablekeeper is a stand-in for the platform's table service. It keeps
// the rows in memory, and is used in process as a storer.Table or over HTTP.
package tablekeeper

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

// Faults are switched at run time.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Slow is added to the latency of every call.
	Slow time.Duration `json:"slow"`
	// LoseReplies is the probability that the reply to a write is lost after the
	// write took effect.
	LoseReplies float64 `json:"lose_replies"`
}

// Keeper is the table. Its fields are set before the first call.
type Keeper struct {
	// WriteLatency is the time of one synced transaction.
	WriteLatency time.Duration
	// ReadLatency is the time of one read or scan.
	ReadLatency time.Duration
	// Jitter is the fraction by which latencies vary in both directions.
	Jitter float64
	// WritesPerSecond and ReadsPerSecond limit the calls by queueing; zero means
	// no limit. Up to 50 ms' worth of calls may arrive together.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Seed seeds jitter and faults.
	Seed uint64

	once   sync.Once
	writes *rate.Limiter
	reads  *rate.Limiter

	mu           sync.Mutex
	random       *rand.Rand
	faults       Faults
	rows         map[string]storer.Row
	revisions    map[string]uint64
	transactions uint64
	writeCalls   uint64
}

var _ storer.Table = (*Keeper)(nil)

func (k *Keeper) prepare() {
	k.once.Do(func() {
		k.writes = limiter(k.WritesPerSecond)
		k.reads = limiter(k.ReadsPerSecond)
		k.random = rand.New(rand.NewPCG(k.Seed, 1))
		k.rows = map[string]storer.Row{}
		k.revisions = map[string]uint64{}
	})
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/20)))
}

// SetFaults replaces the faults in force.
func (k *Keeper) SetFaults(faults Faults) {
	k.prepare()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = faults
}

// Transactions returns how many transactions took effect or were decided.
func (k *Keeper) Transactions() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.transactions
}

// WriteCalls returns how many writes were asked for, also those that failed.
func (k *Keeper) WriteCalls() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.writeCalls
}

// Read implements storer.Table.
func (k *Keeper) Read(ctx context.Context, keys []string) ([]storer.Row, error) {
	if len(keys) > storer.MaxKeysPerRead {
		return nil, fmt.Errorf("read of %d keys, the limit is %d", len(keys), storer.MaxKeysPerRead)
	}
	if err := k.wait(ctx, false); err != nil {
		return nil, err
	}
	sorted := slices.Clone(keys)
	slices.Sort(sorted)
	k.mu.Lock()
	defer k.mu.Unlock()
	var rows []storer.Row
	for _, key := range slices.Compact(sorted) {
		if row, ok := k.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Scan implements storer.Table.
func (k *Keeper) Scan(ctx context.Context, prefix string) ([]storer.Row, error) {
	if err := k.wait(ctx, false); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var rows []storer.Row
	for key, row := range k.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storer.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Write implements storer.Table.
func (k *Keeper) Write(ctx context.Context, puts []storer.Put, atomic bool) ([]storer.PutResult, error) {
	if err := check(puts); err != nil {
		return nil, err
	}
	if err := k.wait(ctx, true); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.transactions++
	results := k.decide(puts, atomic)
	if k.random.Float64() < k.faults.LoseReplies {
		return nil, fmt.Errorf("%w: %w", storer.ErrUnavailable, errReplyLost)
	}
	return results, nil
}

func check(puts []storer.Put) error {
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

// decide runs with the lock held.
func (k *Keeper) decide(puts []storer.Put, atomic bool) []storer.PutResult {
	if atomic && slices.ContainsFunc(puts, func(put storer.Put) bool { return !k.matches(put) && !k.inForce(put) }) {
		return k.report(puts)
	}
	results := make([]storer.PutResult, len(puts))
	for i, put := range puts {
		if k.matches(put) && !k.inForce(put) {
			k.apply(put)
		}
		results[i] = storer.PutResult{Applied: k.inForce(put), Row: k.rows[put.Key]}
	}
	return results
}

func (k *Keeper) report(puts []storer.Put) []storer.PutResult {
	results := make([]storer.PutResult, len(puts))
	for i, put := range puts {
		results[i] = storer.PutResult{Applied: k.inForce(put), Row: k.rows[put.Key]}
	}
	return results
}

func (k *Keeper) matches(put storer.Put) bool {
	return k.rows[put.Key].Revision == put.Expected
}

func (k *Keeper) inForce(put storer.Put) bool {
	row, ok := k.rows[put.Key]
	if put.Delete {
		return !ok
	}
	return ok && row.Token == put.Token
}

func (k *Keeper) apply(put storer.Put) {
	if put.Delete {
		delete(k.rows, put.Key)
		return
	}
	k.revisions[put.Key]++
	k.rows[put.Key] = storer.Row{
		Key:      put.Key,
		Value:    slices.Clone(put.Value),
		Revision: k.revisions[put.Key],
		Token:    put.Token,
	}
}

// wait queues for the rate limit and spends the latency of one call.
func (k *Keeper) wait(ctx context.Context, write bool) error {
	k.prepare()
	queue, latency := k.reads, k.ReadLatency
	if write {
		queue, latency = k.writes, k.WriteLatency
	}
	faults, factor := k.draw(write)
	if faults.Down {
		return fmt.Errorf("%w: the stand-in is set down", storer.ErrUnavailable)
	}
	if err := queue.Wait(ctx); err != nil {
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

func (k *Keeper) draw(write bool) (Faults, float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if write {
		k.writeCalls++
	}
	return k.faults, 1 + k.Jitter*(2*k.random.Float64()-1)
}
