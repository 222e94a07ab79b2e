// Package leaser renews this entry's row in the platform's table service, reads the
// directory of entries, fences the rows of entries that lost their lease and removes
// stale rows.
package leaser

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// Prefix is the key prefix of entry rows.
const Prefix = "entry/"

// queueLimit is the capacity of each request queue. Requests beyond it are reported as
// failed.
const queueLimit = 64

// tryTimeout limits the duration of one renewal or fence. It is below the default entry
// lease of 3 s, so that there is time for another try if the table does not answer.
const tryTimeout = time.Second

// Leaser holds this entry's lease. Its exported fields are set before Prepare.
type Leaser struct {
	Table       storer.Table
	Name        string
	Incarnation messenger.Incarnation
	Address     string
	// Emit receives the events. It is called from several goroutines.
	Emit   func(coordinator.Event)
	Logger *zap.Logger

	renewals  chan coordinator.RenewLease
	fences    chan coordinator.FenceEntry
	released  atomic.Bool
	directory directory
	// held is true once a renewal was applied or the table was seen to hold a row of this
	// incarnation.
	held bool
	// predecessor is the incarnation in the row at the first read, if there was one. It is
	// the only other incarnation whose row may be replaced.
	predecessor messenger.Incarnation
	// rowChecked is true after the first read, which determines predecessor.
	rowChecked bool
}

// Prepare creates the queues. It must be called before the other methods.
func (l *Leaser) Prepare() {
	l.renewals = make(chan coordinator.RenewLease, queueLimit)
	l.fences = make(chan coordinator.FenceEntry, queueLimit)
	if l.Logger == nil {
		l.Logger = zap.NewNop()
	}
}

// RenewLease queues a renewal and returns at once.
func (l *Leaser) RenewLease(effect coordinator.RenewLease) {
	select {
	case l.renewals <- effect:
	default:
		l.Emit(coordinator.LeaseRenewed{Renewal: effect.Renewal, Failed: true})
	}
}

// FenceEntry queues a fence and returns at once.
func (l *Leaser) FenceEntry(effect coordinator.FenceEntry) {
	select {
	case l.fences <- effect:
	default:
		l.Emit(coordinator.EntryFenced{Owner: effect.Row.Incarnation, Failed: true})
	}
}

// ReleaseLease requests the release of the lease in a graceful stop: before Run returns,
// it marks the row of this entry as released, so that the other entries need not wait for
// the lease to expire.
func (l *Leaser) ReleaseLease() {
	l.released.Store(true)
}

// Run processes the queues until ctx ends. Fences do not wait for renewals.
func (l *Leaser) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(ctx, l.renewals, l.renew) })
	group.Go(func() error { return serve(ctx, l.fences, l.fence) })
	if err := group.Wait(); !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run leaser: %w", err)
	}
	if l.released.Load() {
		l.release(context.WithoutCancel(ctx))
	}
	return nil
}

// release tries once to mark the row of this entry as released. If that fails, the lease
// expires by itself.
func (l *Leaser) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if err := l.tryRelease(ctx); err != nil {
		l.Logger.Warn("lease not released; other entries wait until it expires", zap.Error(err))
	}
}

func (l *Leaser) tryRelease(ctx context.Context) error {
	rows, err := l.Table.Read(ctx, []string{Prefix + l.Name})
	if err != nil || len(rows) == 0 {
		return err
	}
	row, err := decode(rows[0])
	if err != nil || row.Incarnation != l.Incarnation {
		return err
	}
	row.Fenced, row.Released = true, true
	put, err := l.put(rows[0], row, string(l.Incarnation)+"/release")
	if err != nil {
		return err
	}
	_, err = l.Table.Write(ctx, []storer.Put{put}, false)
	return err
}

func serve[T any](ctx context.Context, queue <-chan T, handle func(context.Context, T)) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case effect := <-queue:
			handle(ctx, effect)
		}
	}
}

func (l *Leaser) renew(ctx context.Context, effect coordinator.RenewLease) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	event, err := l.tryRenew(ctx, effect.Renewal)
	if err != nil {
		l.Logger.Warn("lease not renewed; the renewal is retried", zap.Error(err))
		event = coordinator.LeaseRenewed{Failed: true}
	}
	event.Renewal = effect.Renewal
	l.Emit(event)
}

func (l *Leaser) tryRenew(ctx context.Context, renewal uint64) (coordinator.LeaseRenewed, error) {
	rows, err := l.Table.Scan(ctx, Prefix)
	if err != nil {
		return coordinator.LeaseRenewed{}, err
	}
	l.directory.logger = l.Logger
	entries, stale := l.directory.observe(time.Now(), rows)
	current, exists := findRow(rows, Prefix+l.Name)
	if l.leaseLost(current, exists) {
		return coordinator.LeaseRenewed{Fenced: true, Directory: entries}, nil
	}
	row := coordinator.EntryRow{Name: l.Name, Incarnation: l.Incarnation, Address: l.Address, Renewal: renewal}
	put, err := l.put(current, row, fmt.Sprintf("%s/renew/%d", l.Incarnation, renewal))
	if err != nil {
		return coordinator.LeaseRenewed{}, err
	}
	results, err := l.Table.Write(ctx, append([]storer.Put{put}, l.removals(stale, put.Key)...), false)
	if err != nil {
		return coordinator.LeaseRenewed{}, err
	}
	if results[0].Applied {
		l.held = true
		return coordinator.LeaseRenewed{Directory: replaceEntry(entries, row)}, nil
	}
	// Without a revision, the row is gone or malformed; the next renewal reads which.
	if results[0].Row.Revision > 0 && l.leaseLost(results[0].Row, true) {
		return coordinator.LeaseRenewed{Fenced: true, Directory: entries}, nil
	}
	return coordinator.LeaseRenewed{}, errors.New("the entry row was changed by another writer during the renewal")
}

// leaseLost reports whether the row of this entry, or its absence, proves that this
// incarnation has lost its lease.
func (l *Leaser) leaseLost(current storer.Row, exists bool) bool {
	if !exists {
		l.rowChecked = true
		// If this incarnation has had a row, another entry removed the row because it was
		// not renewed.
		return l.held
	}
	row, err := decode(current)
	if err != nil {
		// Another program has written the row. The renewal replaces it.
		return false
	}
	if row.Incarnation == l.Incarnation {
		l.held = true
		return row.Fenced
	}
	if !l.rowChecked {
		l.rowChecked, l.predecessor = true, row.Incarnation
	}
	// Any incarnation that appears after the first read is newer than this one.
	return l.held || row.Incarnation != l.predecessor
}

func (l *Leaser) removals(stale []storer.Row, ownKey string) []storer.Put {
	var puts []storer.Put
	for _, row := range stale {
		if row.Key == ownKey || len(puts) == storer.MaxPutsPerWrite-1 {
			continue
		}
		token := fmt.Sprintf("%s/remove/%s/%d", l.Incarnation, row.Key, row.Revision)
		puts = append(puts, storer.Put{Key: row.Key, Expected: row.Revision, Token: token, Delete: true})
	}
	return puts
}

func (l *Leaser) fence(ctx context.Context, effect coordinator.FenceEntry) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	event, err := l.tryFence(ctx, effect.Row)
	if err != nil {
		l.Logger.Warn("entry not fenced; the fence is retried", zap.String("owner", string(effect.Row.Incarnation)), zap.Error(err))
		event = coordinator.EntryFenced{Failed: true}
	}
	event.Owner = effect.Row.Incarnation
	l.Emit(event)
}

func (l *Leaser) tryFence(ctx context.Context, target coordinator.EntryRow) (coordinator.EntryFenced, error) {
	rows, err := l.Table.Read(ctx, []string{Prefix + target.Name})
	// An incarnation whose row is gone or belongs to another incarnation can never
	// renew again.
	if err != nil || len(rows) == 0 {
		return coordinator.EntryFenced{}, err
	}
	row, err := decode(rows[0])
	if err != nil || row.Fenced || row.Incarnation != target.Incarnation {
		return coordinator.EntryFenced{}, err
	}
	if row.Renewal != target.Renewal {
		return coordinator.EntryFenced{Alive: true}, nil
	}
	row.Fenced = true
	put, err := l.put(rows[0], row, fmt.Sprintf("%s/fence/%s/%d", l.Incarnation, target.Incarnation, rows[0].Revision))
	if err != nil {
		return coordinator.EntryFenced{}, err
	}
	results, err := l.Table.Write(ctx, []storer.Put{put}, false)
	if err != nil || results[0].Applied {
		return coordinator.EntryFenced{}, err
	}
	return fenceConflict(results[0].Row, target)
}

// fenceConflict returns the result of a fence that was not applied, from the row that the
// table holds instead.
func fenceConflict(current storer.Row, target coordinator.EntryRow) (coordinator.EntryFenced, error) {
	if current.Revision == 0 {
		return coordinator.EntryFenced{}, nil
	}
	row, err := decode(current)
	alive := err == nil && row.Incarnation == target.Incarnation && !row.Fenced
	return coordinator.EntryFenced{Alive: alive}, err
}

func (l *Leaser) put(current storer.Row, row coordinator.EntryRow, token string) (storer.Put, error) {
	value, err := cbor.Marshal(row)
	if err != nil {
		return storer.Put{}, fmt.Errorf("encode entry row: %w", err)
	}
	return storer.Put{Key: Prefix + row.Name, Value: value, Expected: current.Revision, Token: token}, nil
}
