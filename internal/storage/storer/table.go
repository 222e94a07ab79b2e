package storer

import (
	"context"
	"errors"
)

// ErrUnavailable means that the table service gave no answer. A write may or may
// not have taken effect.
var ErrUnavailable = errors.New("table service unavailable")

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision increases with each write of the row; the first is 1. It keeps increasing
	// when a removed row is created again, so that an expected revision from before the
	// removal never matches.
	Revision uint64 `json:"revision"`
	// Token is the token of the write that produced this revision.
	Token string `json:"token"`
}

// Put is a conditional write of one row. It takes effect only if the row has the
// expected revision; 0 means that the row must be absent.
type Put struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Expected uint64 `json:"expected"`
	// Token is unique per write. A retry carries the same token, so that a writer
	// whose reply was lost recognises its own row.
	Token string `json:"token"`
	// Delete removes the row instead of writing it.
	Delete bool `json:"delete,omitempty"`
}

// PutResult reports whether a Put took effect, and the row that the table now holds.
type PutResult struct {
	// Applied is true if the row in the table carries the Put's token, or if the row of
	// a Delete is absent.
	Applied bool `json:"applied"`
	Row     Row  `json:"row"`
}

// Table is the platform's transactional table service. One Write is one synced
// transaction, whatever the number of rows.
type Table interface {
	// Read returns the rows that exist, in key order.
	Read(ctx context.Context, keys []string) ([]Row, error)
	// Scan returns the rows whose key starts with prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Write applies puts in one transaction. If atomic is true, either all take effect
	// or none; otherwise each takes effect or not independently of the others. A Put
	// counts as applied if the row in the table already carries its token.
	Write(ctx context.Context, puts []Put, atomic bool) ([]PutResult, error)
}
