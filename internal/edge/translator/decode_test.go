package translator

import (
	"errors"
	"runtime"
	"strings"
	"testing"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Guards against invalid bodies that are accepted in part. Each must be rejected with an
// error that names the invalid field.
func TestDecodeSubmissionRefusesFaults(t *testing.T) {
	scenarios := []struct {
		name, body, field string
		kind              messenger.Kind
	}{
		{"syntax", `{"tasks":[}`, "", messenger.KindJob},
		{"trailing data", `{"tasks":[{"payload":1}]} x`, "", messenger.KindJob},
		{"not an object", `[]`, "", messenger.KindJob},
		{"unknown field", `{"task":[]}`, "task", messenger.KindJob},
		{"field in other case", `{"Tasks":[]}`, "Tasks", messenger.KindJob},
		{"repeated field", `{"id":"a","id":"b"}`, "id", messenger.KindJob},
		{"wrong type in task", `{"tasks":[{"payload":1,"labels":[2]}]}`, "tasks[0].labels", messenger.KindJob},
		{"unknown field in task", `{"tasks":[{"payload":1},{"x":1}]}`, "tasks[1].x", messenger.KindJob},
		{"no tasks", `{"tasks":[]}`, "tasks", messenger.KindJob},
		{"no payload", `{"tasks":[{}]}`, "tasks[0].payload", messenger.KindJob},
		{"null deadline", `{"deadline":null}`, "deadline", messenger.KindJob},
		{"number as deadline", `{"deadline":3}`, "deadline", messenger.KindJob},
		{"negative deadline", `{"deadline":"-1s"}`, "deadline", messenger.KindJob},
		{"bad priority", `{"priority":"urgent"}`, "priority", messenger.KindJob},
		{"bad id", `{"id":"a/b"}`, "id", messenger.KindJob},
		{"repeatable job", `{"repeatable":true}`, "repeatable", messenger.KindJob},
		{"tasks in request", `{"tasks":[]}`, "tasks", messenger.KindRequest},
		{"invalid UTF-8", "{\"id\":\"\xff\"}", "", messenger.KindRequest},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := DecodeSubmission(s.kind, []byte(s.body))
			var fault *Error
			if !errors.As(err, &fault) {
				t.Fatalf("got %v, want an *Error", err)
			}
			if fault.Code != CodeBadRequest || fault.Field != s.field || fault.Offset == nil {
				t.Errorf("got %+v, want bad_request at %q with an offset", fault, s.field)
			}
		})
	}
}

// Guards against an id conflict when a resubmission differs only in formatting, and
// against accepting a different body under the same id.
func TestDigestIdentifiesTheBody(t *testing.T) {
	base := `{"id":"a","tasks":[{"payload":{"x":1,"y":[2,3]},"labels":["p","q"]}]}`
	scenarios := []struct {
		name, body string
		same       bool
	}{
		{"other order and spaces", `{"tasks":[{"labels":["q","p"],"payload":{"y":[2, 3],"x":1}}], "wait":false}`, true},
		{"default priority", `{"tasks":[{"payload":{"x":1,"y":[2,3]},"labels":["p","q"]}],"priority":"normal"}`, true},
		{"other payload", `{"tasks":[{"payload":{"x":1,"y":[3,2]},"labels":["p","q"]}]}`, false},
		{"repeated payload field", `{"tasks":[{"payload":{"x":2,"x":1,"y":[2,3]},"labels":["p","q"]}]}`, false},
		{"other deadline", `{"tasks":[{"payload":{"x":1,"y":[2,3]},"labels":["p","q"]}],"deadline":"3s"}`, false},
	}
	want, err := DecodeSubmission(messenger.KindJob, []byte(base))
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got, err := DecodeSubmission(messenger.KindJob, []byte(s.body))
			if err != nil {
				t.Fatal(err)
			}
			if same := got.Submission.Digest == want.Submission.Digest; same != s.same {
				t.Errorf("same digest = %v, want %v", same, s.same)
			}
		})
	}
}

// Guards against a deeply nested payload that makes one call allocate gigabytes. That
// happened when the canonical form copied the inner text at each nesting level.
func TestNestedPayloadIsCheap(t *testing.T) {
	const depth, size = 2000, 1 << 20
	body := `{"payload":` + strings.Repeat(`{"x":`, depth) + `"` + strings.Repeat("y", size) + `"` + strings.Repeat("}", depth) + "}"
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := DecodeSubmission(messenger.KindRequest, []byte(body)); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 64*size {
		t.Errorf("allocated %d bytes for a body of %d", allocated, len(body))
	}
}

// Guards against panics, untyped errors and accepted bodies without tasks or a digest.
func FuzzDecodeSubmission(f *testing.F) {
	f.Add(`{"id":"a","tasks":[{"payload":{"x":1},"labels":["p"],"declared_run_time":"50ms"}],"deadline":"3s"}`, true)
	f.Add(`{"payload":null,"repeatable":true,"priority":"high","wait":false}`, false)
	f.Fuzz(func(t *testing.T, body string, job bool) {
		kind := messenger.KindRequest
		if job {
			kind = messenger.KindJob
		}
		decoded, err := DecodeSubmission(kind, []byte(body))
		if err != nil {
			var fault *Error
			if !errors.As(err, &fault) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if len(decoded.Submission.Tasks) == 0 || len(decoded.Submission.Digest) != 64 {
			t.Fatalf("accepted %q as %+v", body, decoded)
		}
	})
}
