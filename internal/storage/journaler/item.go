package journaler

import (
	"fmt"
	"net/url"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

type itemKind int

const (
	intentItem itemKind = iota
	outcomeItem
	lookupItem
	removalItem
)

// item is one queued row write, removal or lookup.
type item struct {
	kind  itemKind
	key   messenger.SubmissionKey
	path  string
	body  any
	token string
	// row is the intent row that the table already held when this item's row was
	// written; only the outcome row is then looked up.
	row       *coordinator.IntentRow
	removal   removal
	deadline  time.Time
	notBefore time.Time
	tries     int
	// size is the approximate size of an encoded outcome row in bytes; it is 0 for
	// other items.
	size int
	// part is set when a refused transaction is split: only rows of the same part
	// share a transaction, so that one bad row does not block the others.
	part uint64
	// done is set once the result of an intent or a lookup has been reported. It is
	// guarded by Journal.mu.
	done bool
}

// IntentKey returns the table key of a submission's intent row.
func IntentKey(key messenger.SubmissionKey) string {
	return tableKey("intent", key)
}

// OutcomeKey returns the table key of a submission's outcome row.
func OutcomeKey(key messenger.SubmissionKey) string {
	return tableKey("outcome", key)
}

func tableKey(table string, key messenger.SubmissionKey) string {
	return table + "/" + url.PathEscape(key.Firm) + "/" + url.PathEscape(key.Service) + "/" + url.PathEscape(key.ID)
}

// outcomeSize estimates the size of an outcome row in bytes from the fields that may
// be large.
func outcomeSize(outcome messenger.Outcome) int {
	size := len(outcome.Reason)
	for _, task := range outcome.Tasks {
		size += len(task.Result) + len(task.Reason)
	}
	return size
}

func (it *item) put() (storer.Put, error) {
	value, err := cbor.Marshal(it.body)
	if err != nil {
		return storer.Put{}, fmt.Errorf("encode %s: %w", it.path, err)
	}
	return storer.Put{Key: it.path, Value: value, Token: it.token}, nil
}

func decodeRow[T any](row storer.Row) (*T, error) {
	value := new(T)
	if err := cbor.Unmarshal(row.Value, value); err != nil {
		return nil, fmt.Errorf("decode %s: %w", row.Key, err)
	}
	return value, nil
}
