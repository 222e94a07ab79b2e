package versioner

import (
	"context"
	"fmt"
	"sync"

	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// fakeTable is an in-memory table with faults that are injected per call.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string]storer.Row
	// beforeWrite runs once, before the next write, and simulates a concurrent writer.
	beforeWrite func()
	// loseReplies is the number of next writes that take effect but return an
	// error; failWrites is the number of next writes that do not take effect.
	loseReplies, failWrites int
	// failReads makes reads fail; hangReads makes reads block until the context ends.
	failReads, hangReads bool
	writes               int
}

func (f *fakeTable) Read(ctx context.Context, keys []string) ([]storer.Row, error) {
	f.mu.Lock()
	hang, fail := f.hangReads, f.failReads
	f.mu.Unlock()
	if hang {
		<-ctx.Done()
	}
	if hang || fail {
		return nil, fmt.Errorf("fake: %w", storer.ErrUnavailable)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []storer.Row
	for _, key := range keys {
		if row, ok := f.rows[key]; ok {
			found = append(found, row)
		}
	}
	return found, nil
}

func (f *fakeTable) Scan(context.Context, string) ([]storer.Row, error) {
	return nil, fmt.Errorf("fake: scan is not used")
}

func (f *fakeTable) Write(_ context.Context, puts []storer.Put, _ bool) ([]storer.PutResult, error) {
	if hook := f.beforeWrite; hook != nil {
		f.beforeWrite = nil
		hook()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.failWrites > 0 {
		f.failWrites--
		return nil, fmt.Errorf("fake: %w", storer.ErrUnavailable)
	}
	results := f.apply(puts)
	if f.loseReplies > 0 {
		f.loseReplies--
		return nil, fmt.Errorf("fake: %w", storer.ErrUnavailable)
	}
	return results, nil
}

func (f *fakeTable) apply(puts []storer.Put) []storer.PutResult {
	possible := true
	for _, put := range puts {
		row := f.rows[put.Key]
		possible = possible && (row.Revision == put.Expected || row.Token == put.Token)
	}
	results := make([]storer.PutResult, len(puts))
	for i, put := range puts {
		if row := f.rows[put.Key]; possible && row.Token != put.Token {
			f.rows[put.Key] = storer.Row{Key: put.Key, Value: put.Value, Revision: row.Revision + 1, Token: put.Token}
		}
		results[i] = storer.PutResult{Applied: f.rows[put.Key].Token == put.Token, Row: f.rows[put.Key]}
	}
	return results
}
