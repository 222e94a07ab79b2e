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

// malformedRows are values of the row of an entry "e9" that name no entry.
func malformedRows(t testing.TB) map[string][]byte {
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
		"nested field":     encode(map[string]any{"name": "e9", "extra": cbor.RawMessage(append(bytes.Repeat([]byte{0x81}, 20_000), 0))}),
		"number too large": encode(map[string]any{"name": "e9", "incarnation": "e9~1", "address": "10.0.0.1:7", "renewal": 1e300}),
		"negative number":  encode(map[string]any{"name": "e9", "incarnation": "e9~1", "address": "10.0.0.1:7", "renewal": -1}),
		"other type":       encode([]int{1, 2}),
		"other name":       row("e1", "e1~9", "10.0.0.1:7"),
		"no incarnation":   row("e9", "", "10.0.0.1:7"),
		"port 0":           row("e9", "e9~1", "10.0.0.1:0"),
		"port 65536":       row("e9", "e9~1", "10.0.0.1:65536"),
		"port by name":     row("e9", "e9~1", "10.0.0.1:http"),
		"no address":       row("e9", "e9~1", ""),
	}
}

func putRow(t *testing.T, table *tableserver.Table, name string, value []byte, expected uint64) {
	t.Helper()
	put := storer.Put{Key: Prefix + name, Value: value, Expected: expected, Token: "other"}
	if results, err := table.Write(t.Context(), []storer.Put{put}, true); err != nil || !results[0].Applied {
		t.Fatalf("%+v, %v", results, err)
	}
}

// Guards against a malformed row of another writer that stops renewals, hides the other entries
// or is listed as an entry. It is logged once, not at each renewal.
func TestMalformedRowsAreLeftOut(t *testing.T) {
	for name, value := range malformedRows(t) {
		t.Run(name, func(t *testing.T) {
			table := &tableserver.Table{}
			other, otherEvents := newLeaser(table, "e2", "e2~1")
			renew(t, other, otherEvents, 1)
			putRow(t, table, "e9", value, 0)
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
// has replaced that row by a malformed one.
func TestMalformedOwnRowIsReplaced(t *testing.T) {
	for name, value := range malformedRows(t) {
		t.Run(name, func(t *testing.T) {
			table := &tableserver.Table{}
			l, events := newLeaser(table, "e9", "e9~7")
			if got := renew(t, l, events, 1); got.Failed || got.Fenced {
				t.Fatalf("%+v", got)
			}
			putRow(t, table, "e9", value, 1)
			got := renew(t, l, events, 2)
			if got.Failed || got.Fenced || len(got.Directory) != 1 || got.Directory[0].Incarnation != "e9~7" {
				t.Errorf("%+v", got)
			}
		})
	}
}

// Guards against row values that end a process.
func FuzzDecode(f *testing.F) {
	for _, value := range malformedRows(f) {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		entry, err := decode(storer.Row{Key: Prefix + "e9", Value: value})
		if err == nil && (entry.Name != "e9" || entry.Incarnation == "" || entry.Address == "") {
			t.Errorf("accepted %+v", entry)
		}
	})
}
