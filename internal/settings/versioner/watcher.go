package versioner

import (
	"context"
	"fmt"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

const (
	defaultInterval = 500 * time.Millisecond
	// defaultReadTimeout is well below the settings lease of 2.5 s, so that the
	// lease does not expire because of one read without an answer.
	defaultReadTimeout = time.Second
)

// Watcher polls the version in force. Set the fields before Run.
type Watcher struct {
	Table storer.Table
	// Interval is the time between two reads; 0 means 500 ms.
	Interval time.Duration
	// ReadTimeout bounds one read; 0 means 1 s.
	ReadTimeout time.Duration
	// OnRead is called after each successful read with the time at which the read
	// was sent. Tree is nil unless the version is the first one read or higher
	// than all versions read before; the receiver must not change the tree. A version
	// lower than an earlier one comes from an outdated copy of the table and does not
	// confirm the settings.
	OnRead func(sentAt time.Time, version uint64, tree *resolver.Tree)
	// OnError is called after each failed read; it may be nil.
	OnError func(error)

	row     storer.Row
	version uint64
	seen    bool
}

// Run reads at once and then every Interval until ctx ends; it then returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(orDefault(w.Interval, defaultInterval))
	defer ticker.Stop()
	for {
		w.readOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (w *Watcher) readOnce(ctx context.Context) {
	sentAt := time.Now()
	readCtx, cancel := context.WithTimeout(ctx, orDefault(w.ReadTimeout, defaultReadTimeout))
	defer cancel()
	rows, err := w.Table.Read(readCtx, []string{headKey})
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.reportError(fmt.Errorf("read settings head: %w", err))
		return
	}
	w.accept(sentAt, findRow(rows, headKey))
}

func (w *Watcher) accept(sentAt time.Time, row storer.Row) {
	// An unchanged row is not decoded again.
	if w.seen && row.Revision == w.row.Revision && row.Token == w.row.Token {
		w.OnRead(sentAt, w.version, nil)
		return
	}
	head, err := decodeHead(row)
	if err != nil {
		w.reportError(err)
		return
	}
	if w.seen && head.Version <= w.version {
		w.OnRead(sentAt, head.Version, nil)
		return
	}
	w.row, w.version, w.seen = row, head.Version, true
	w.OnRead(sentAt, head.Version, &head.Tree)
}

func (w *Watcher) reportError(err error) {
	if w.OnError != nil {
		w.OnError(err)
	}
}
