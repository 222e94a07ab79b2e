// Package leaser renews this entry's row in the platform's table, reads the
// directory of entries and fences the rows of entries that lost their lease.
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

// Prefix starts the keys of entry rows.
const Prefix = "entry/"

// queueLimit bounds the requests that wait; those beyond it are reported as failed.
const queueLimit = 64

// tryTimeout bounds one renewal or fence. It is below the entry lease of 3 s, so
// that a table that does not answer leaves time for another try.
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

	renewals chan coordinator.RenewLease
	fences   chan coordinator.FenceEntry
	released atomic.Bool
	book     directory
	// held is true once a renewal took effect or was seen to have.
	held bool
	// predecessor is the only other incarnation that may be taken over.
	predecessor messenger.Incarnation
	asked       bool
}

// Prepare makes the queues. It is called before the other methods.
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

// ReleaseLease ends the lease in a graceful stop: Run then marks the own row
// before it returns, so that the other entries need not wait for it to lapse.
func (l *Leaser) ReleaseLease() {
	l.released.Store(true)
}

// Run serves the queues until ctx ends. Fences do not wait for renewals.
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

// release marks the own row once. If that fails, the row lapses by itself.
func (l *Leaser) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if err := l.tryRelease(ctx); err != nil {
		l.Logger.Warn("lease not released", zap.Error(err))
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
		l.Logger.Warn("lease not renewed", zap.Error(err))
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
	entries, stale := l.book.observe(time.Now(), rows)
	current := find(rows, Prefix+l.Name)
	replaced, err := l.replaced(current)
	if err != nil || replaced {
		return coordinator.LeaseRenewed{Fenced: replaced, Directory: entries}, err
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
		return coordinator.LeaseRenewed{Directory: replace(entries, row)}, nil
	}
	replaced, err = l.replaced(results[0].Row)
	if err == nil && !replaced {
		err = errors.New("the row changed during the renewal")
	}
	return coordinator.LeaseRenewed{Fenced: replaced, Directory: entries}, err
}

// replaced says whether the row proves that this incarnation lost its lease.
func (l *Leaser) replaced(current storer.Row) (bool, error) {
	if current.Revision == 0 {
		l.asked = true
		// A row that was held and is gone was removed because it did not change.
		return l.held, nil
	}
	row, err := decode(current)
	if err != nil {
		return false, err
	}
	if row.Incarnation == l.Incarnation {
		l.held = true
		return row.Fenced, nil
	}
	if !l.asked {
		l.asked, l.predecessor = true, row.Incarnation
	}
	// Any incarnation that appears after the first read is newer than this one.
	return l.held || row.Incarnation != l.predecessor, nil
}

func (l *Leaser) removals(stale []storer.Row, own string) []storer.Put {
	var puts []storer.Put
	for _, row := range stale {
		if row.Key == own || len(puts) == storer.MaxPutsPerWrite-1 {
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
		l.Logger.Warn("entry not fenced", zap.String("owner", string(effect.Row.Incarnation)), zap.Error(err))
		event = coordinator.EntryFenced{Failed: true}
	}
	event.Owner = effect.Row.Incarnation
	l.Emit(event)
}

func (l *Leaser) tryFence(ctx context.Context, target coordinator.EntryRow) (coordinator.EntryFenced, error) {
	rows, err := l.Table.Read(ctx, []string{Prefix + target.Name})
	// An incarnation whose row is gone or another's can never renew again.
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
	return fencedBy(results[0].Row, target)
}

// fencedBy reads the row that won against a fence.
func fencedBy(current storer.Row, target coordinator.EntryRow) (coordinator.EntryFenced, error) {
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
