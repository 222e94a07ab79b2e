package versioner

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// keyOf returns the key of a change row. The version is padded with zeros, so that
// keys sort in the order of their versions.
func keyOf(version uint64) string {
	return fmt.Sprintf("%s%020d", changePrefix, version)
}

// findRow returns the row of a key; its revision is 0 if it does not exist.
func findRow(rows []storer.Row, key string) storer.Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return storer.Row{Key: key}
}

func decodeHead(row storer.Row) (Head, error) {
	var head Head
	if row.Revision == 0 {
		return head, nil
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return head, nil
}

// encodePuts returns the writes of the head row and of the change row. The change row
// is never overwritten, so its token identifies the edit that made the version.
func encodePuts(change Change, headRevision uint64, token string) ([]storer.Put, error) {
	headValue, err := json.Marshal(Head{Version: change.Version, Tree: change.Tree})
	if err != nil {
		return nil, fmt.Errorf("encode settings head: %w", err)
	}
	changeValue, err := json.Marshal(change)
	if err != nil {
		return nil, fmt.Errorf("encode settings change: %w", err)
	}
	return []storer.Put{
		{Key: headKey, Value: headValue, Expected: headRevision, Token: token},
		{Key: keyOf(change.Version), Value: changeValue, Token: token},
	}, nil
}

// removal returns the deletion of an old change row. It is part of the transaction of
// a new change, so it costs no further write. A change row is written once, so its
// revision is 1. If the row is already absent, the new change takes effect all the
// same.
func removal(version uint64, token string) storer.Put {
	return storer.Put{Key: keyOf(version), Expected: 1, Token: token, Delete: true}
}

// decodeOwnChange returns the change that an earlier write with the same token made.
// It fails with ErrTokenReused if that change has another tree, because the wanted
// tree is not in force.
func decodeOwnChange(row storer.Row, wanted Change) (Change, error) {
	var kept Change
	if err := json.Unmarshal(row.Value, &kept); err != nil {
		return Change{}, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	keptTree, err := json.Marshal(kept.Tree)
	if err != nil {
		return Change{}, fmt.Errorf("encode settings tree: %w", err)
	}
	wantedTree, err := json.Marshal(wanted.Tree)
	if err != nil {
		return Change{}, fmt.Errorf("encode settings tree: %w", err)
	}
	if !bytes.Equal(keptTree, wantedTree) {
		return Change{}, ErrTokenReused
	}
	return kept, nil
}

func newestFirst(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(b.Version, a.Version) })
}
