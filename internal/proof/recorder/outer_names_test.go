package recorder

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/supervisor"
	"github.com/burdockrudder/burdockrudder/internal/settings/versioner"
)

const (
	outerNamesFile = "testdata/outer_names.txt"
	// earlierNamesFile holds the encodings, by earlier builds, of the values to which a field
	// has been added since.
	earlierNamesFile = "testdata/outer_names_earlier.txt"
)

var writeOuterNames = flag.Bool("write-outer-names", false, "write "+outerNamesFile+" anew")

// pinned is a value and how it leaves the process.
type pinned struct {
	name   string
	value  any
	encode func(any) ([]byte, error)
	decode func([]byte) (any, error)
}

// Guards against a Go identifier that is renamed although its name is written to a
// message, a stored row or a trace: a process or a row of another build would then be
// misread, and no other test compares with bytes that an earlier build wrote.
func TestOuterNamesAreKept(t *testing.T) {
	values := append(pinnedMessages(t), pinnedRows()...)
	values = append(values, pinnedTrace()...)
	if *writeOuterNames {
		writePinned(t, values)
	}
	want := readPinned(t, outerNamesFile)
	if len(want) != len(values) {
		t.Errorf("%d values are encoded, %s holds %d", len(values), outerNamesFile, len(want))
	}
	for _, p := range values {
		t.Run(p.name, func(t *testing.T) {
			got, err := p.encode(p.value)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, want[p.name]) {
				t.Errorf("encoded:\n %q\nwant:\n %q", got, want[p.name])
			}
			value, err := p.decode(want[p.name])
			if err != nil {
				t.Fatal(err)
			}
			again, err := p.encode(value)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(again, want[p.name]) {
				t.Errorf("decoded and encoded again:\n %q\nwant:\n %q", again, want[p.name])
			}
		})
	}
}

// Guards against a message or a row of an earlier build that is misread: processes of both
// builds run side by side during a rolling update.
func TestEarlierValuesAreRead(t *testing.T) {
	values := append(pinnedMessages(t), pinnedRows()...)
	values = append(values, pinnedTrace()...)
	for name, earlier := range readPinned(t, earlierNamesFile) {
		at := slices.IndexFunc(values, func(p pinned) bool { return p.name == name })
		if at < 0 {
			t.Errorf("%s is not encoded any more", name)
			continue
		}
		value, err := values[at].decode(earlier)
		if err != nil {
			t.Fatal(err)
		}
		again, err := values[at].encode(value)
		if err != nil || !bytes.Equal(again, earlier) {
			t.Errorf("%s: decoded and encoded again:\n %q\nwant:\n %q (%v)", name, again, earlier, err)
		}
	}
}

// pinnedMessages returns one message of each kind number, with all fields set.
func pinnedMessages(t *testing.T) []pinned {
	t.Helper()
	var result []pinned
	for kind := range 256 {
		// An empty CBOR map decodes to the zero value of the kind's type.
		zero, err := messenger.Decode([]byte{byte(kind), 0xa0})
		if err != nil {
			break
		}
		result = append(result, pinned{
			name:   fmt.Sprintf("message %d %s", kind, messenger.KindName(zero)),
			value:  filled(reflect.TypeOf(zero)),
			encode: func(v any) ([]byte, error) { return messenger.Encode(v.(messenger.Message)) },
			decode: func(data []byte) (any, error) { return messenger.Decode(data) },
		})
	}
	return result
}

func pinnedRows() []pinned {
	return []pinned{
		row[coordinator.IntentRow]("intent", cbor.Marshal, cbor.Unmarshal),
		row[messenger.Outcome]("outcome", cbor.Marshal, cbor.Unmarshal),
		row[coordinator.EntryRow]("entry", cbor.Marshal, cbor.Unmarshal),
		row[supervisor.Announcement]("endpoint", cbor.Marshal, cbor.Unmarshal),
		row[versioner.Head]("settings head", json.Marshal, json.Unmarshal),
		row[versioner.Change]("settings change", json.Marshal, json.Unmarshal),
	}
}

func row[T any](name string, encode func(any) ([]byte, error), decode func([]byte, any) error) pinned {
	return pinned{
		name:   "row " + name,
		value:  filled(reflect.TypeFor[T]()),
		encode: encode,
		decode: func(data []byte) (any, error) {
			var value T
			err := decode(data, &value)
			return value, err
		},
	}
}

// pinnedTrace returns a header, a line of each event and of each effect.
func pinnedTrace() []pinned {
	result := []pinned{row[Header]("trace header", json.Marshal, json.Unmarshal)}
	for name, t := range events {
		result = append(result, event(name, filled(t).(coordinator.Event)))
	}
	for name, t := range messages {
		message := filled(t).(messenger.Message)
		result = append(result, event("Received "+name, coordinator.Received{From: "from", Message: message}))
		result = append(result, effect("Send "+name, coordinator.Send{To: "to", Message: message}))
	}
	for _, answer := range []coordinator.Answer{
		coordinator.OutcomeAnswer{}, coordinator.RefusalAnswer{}, coordinator.CancelAnswer{}, coordinator.TicketsAnswer{},
	} {
		t := reflect.TypeOf(answer)
		result = append(result, effect("Reply "+t.Name(),
			coordinator.Reply{Call: 1, Answer: filled(t).(coordinator.Answer)}))
	}
	for _, e := range []coordinator.Effect{
		coordinator.CommitIntent{}, coordinator.ReadIntent{}, coordinator.CommitOutcome{}, coordinator.RenewLease{},
		coordinator.FenceEntry{}, coordinator.ReleaseLease{}, coordinator.Decision{}, coordinator.Drained{},
		coordinator.Exit{},
	} {
		t := reflect.TypeOf(e)
		result = append(result, effect(t.Name(), filled(t).(coordinator.Effect)))
	}
	slices.SortFunc(result, func(a, b pinned) int { return strings.Compare(a.name, b.name) })
	return result
}

func event(name string, value coordinator.Event) pinned {
	return pinned{
		name:  "event " + name,
		value: value,
		encode: func(v any) ([]byte, error) {
			typed, err := EncodeEvent(v.(coordinator.Event))
			if err != nil {
				return nil, err
			}
			return json.Marshal(Line{At: time.Unix(1, 0).UTC(), Typed: typed})
		},
		decode: func(data []byte) (any, error) {
			var line Line
			if err := json.Unmarshal(data, &line); err != nil {
				return nil, err
			}
			return DecodeEvent(line.Typed)
		},
	}
}

// effect is printed and never read, so that decoding returns the value itself.
func effect(name string, value coordinator.Effect) pinned {
	return pinned{
		name:  "effect " + name,
		value: value,
		encode: func(v any) ([]byte, error) {
			typed, err := EncodeEffect(v.(coordinator.Effect))
			if err != nil {
				return nil, err
			}
			return json.Marshal(typed)
		},
		decode: func([]byte) (any, error) { return value, nil },
	}
}

// filled returns a value of a type with no field left empty, so that no field is
// omitted from the encoding.
func filled(t reflect.Type) any {
	target := reflect.New(t).Elem()
	next := 0
	fill(target, &next)
	return target.Interface()
}

func fill(v reflect.Value, next *int) {
	*next++
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(int64(*next), 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), next)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), next)
	case reflect.Map:
		key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next)
		fill(element, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, element)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", *next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next % 256))
	default:
		panic(fmt.Sprintf("no value for %s", v.Type()))
	}
}

func readPinned(t *testing.T, file string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	result := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, data, found := strings.Cut(strings.TrimSpace(line), ": ")
		if !found {
			t.Fatalf("%s: line without a colon: %q", file, line)
		}
		if result[name], err = hex.DecodeString(data); err != nil {
			t.Fatalf("%s: %s: %v", file, name, err)
		}
	}
	return result
}

func writePinned(t *testing.T, values []pinned) {
	t.Helper()
	var text bytes.Buffer
	for _, p := range values {
		data, err := p.encode(p.value)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%s: %s\n", p.name, hex.EncodeToString(data))
	}
	if err := os.WriteFile(outerNamesFile, text.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}
