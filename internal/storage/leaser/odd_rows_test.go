package leaser

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// oddRows are values of the row of an entry "odd" that name no entry.
func oddRows(t testing.TB) map[string][]byte {
	t.Helper()
	encode := func(row any) []byte {
		data, err := cbor.Marshal(row)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	row := func(name, incarnation, address string) []byte {
		return encode(map[string]any{"name": name, "incarnation": incarnation, "address": address, "renewal": 1})
	}
	return map[string][]byte{
		"empty":            nil,
		"bytes":            {0xff, 0xfe},
		"nested":           bytes.Repeat([]byte{0x81}, 20_000),
		"nested field":     encode(map[string]any{"name": "odd", "extra": cbor.RawMessage(append(bytes.Repeat([]byte{0x81}, 20_000), 0))}),
		"number too large": encode(map[string]any{"name": "odd", "incarnation": "odd~1", "address": "10.0.0.1:7", "renewal": 1e300}),
		"negative number":  encode(map[string]any{"name": "odd", "incarnation": "odd~1", "address": "10.0.0.1:7", "renewal": -1}),
		"other type":       encode([]int{1, 2}),
		"other name":       row("e1", "e1~9", "10.0.0.1:7"),
		"no incarnation":   row("odd", "", "10.0.0.1:7"),
		"port 0":           row("odd", "odd~1", "10.0.0.1:0"),
		"port 65536":       row("odd", "odd~1", "10.0.0.1:65536"),
		"port by name":     row("odd", "odd~1", "10.0.0.1:http"),
		"no address":       row("odd", "odd~1", ""),
	}
}

func putRow(t *testing.T, table *tableserver.Table, name string, value []byte, expected uint64) {
	t.Helper()
	put := storer.Put{Key: Prefix + name, Value: value, Expected: expected, Token: "other"}
	if results, err := table.Write(t.Context(), []storer.Put{put}, true); err != nil || !results[0].Applied {
		t.Fatalf("%+v, %v", results, err)
	}
}

// Guards against an odd row of another writer that stops renewals, hides the other entries
// or is listed as an entry. It is logged once, not at each renewal.
func TestOddRowsAreLeftOut(t *testing.T) {
	for name, value := range oddRows(t) {
		t.Run(name, func(t *testing.T) {
			table := &tableserver.Table{}
			other, otherEvents := newLeaser(table, "e2", "e2~1")
			renew(t, other, otherEvents, 1)
			putRow(t, table, "odd", value, 0)
			l, events := newLeaser(table, "e1", "e1~1")
			core, logged := observer.New(zapcore.WarnLevel)
			l.Logger = zap.New(core)
			for renewal := range uint64(3) {
				got := renew(t, l, events, renewal+1)
				if got.Failed || got.Fenced || len(got.Directory) != 2 {
					t.Fatalf("renewal %d gave %+v", renewal+1, got)
				}
			}
			if logged.Len() != 1 {
				t.Errorf("%d log lines: %v", logged.Len(), logged.All())
			}
			entries, err := Directory(t.Context(), table)
			if err != nil || len(entries) != 2 {
				t.Errorf("%+v, %v", entries, err)
			}
		})
	}
}

// Guards against an entry that no longer renews its row, or ends, because another writer
// has replaced that row by an odd one.
func TestOddOwnRowIsReplaced(t *testing.T) {
	for name, value := range oddRows(t) {
		t.Run(name, func(t *testing.T) {
			table := &tableserver.Table{}
			l, events := newLeaser(table, "odd", "odd~7")
			if got := renew(t, l, events, 1); got.Failed || got.Fenced {
				t.Fatalf("%+v", got)
			}
			putRow(t, table, "odd", value, 1)
			got := renew(t, l, events, 2)
			if got.Failed || got.Fenced || len(got.Directory) != 1 || got.Directory[0].Incarnation != "odd~7" {
				t.Errorf("%+v", got)
			}
		})
	}
}

// Guards against row values that end a process.
func FuzzDecode(f *testing.F) {
	for _, value := range oddRows(f) {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		entry, err := decode(storer.Row{Key: Prefix + "odd", Value: value})
		if err == nil && (entry.Name != "odd" || entry.Incarnation == "" || entry.Address == "") {
			t.Errorf("accepted %+v", entry)
		}
	})
}
