package replayer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/driver"
	"github.com/burdockrudder/burdockrudder/internal/proof/recorder"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

const seed = 7

// recordRun simulates three entries with the crash of one of them and an outage of the
// store, and returns the trace and the decisions of entry-2.
func recordRun(t *testing.T) (trace, decisions []byte) {
	t.Helper()
	var traceText, decisionText bytes.Buffer
	w := &driver.World{
		Seed: seed, Entries: 3, Agents: 8, Slots: 4,
		Domains: []string{"sousse", "monastir"}, Tree: recordedTree(),
	}
	var recorded messenger.Incarnation
	record := &recorder.Recorder{Writer: &traceText}
	w.OnEvent = func(entry messenger.Incarnation, now time.Time, event coordinator.Event) {
		if !strings.HasPrefix(string(entry), "entry-2~") {
			return
		}
		if recorded == "" {
			recorded = entry
			header := recorder.Header{Role: messenger.RoleEntry, Name: "entry-2", Incarnation: entry, Address: "entry-2", Seed: seed}
			if err := record.Start(header); err != nil {
				t.Fatal(err)
			}
		}
		if err := record.Record(now, event); err != nil {
			t.Fatal(err)
		}
	}
	w.OnEffect = func(entry messenger.Incarnation, _ time.Time, effect coordinator.Effect) {
		if decision, ok := effect.(coordinator.Decision); ok && entry == recorded {
			writeDecision(t, &decisionText, decision)
		}
	}
	w.Start()
	submitJobs(w)
	w.At(5*time.Second, func() { w.CrashEntry("entry-1") })
	w.At(6*time.Second, func() { w.SetStoreDown(true) })
	w.At(8*time.Second, func() { w.SetStoreDown(false) })
	w.Run(15 * time.Second)
	return traceText.Bytes(), decisionText.Bytes()
}

func recordedTree() resolver.Tree {
	service := map[string]resolver.Service{"dispatch": {}}
	return resolver.Tree{Firms: map[string]resolver.Firm{"lamis": {
		Keys: []resolver.Key{{Name: "desk", Role: resolver.RoleCaller, SecretSHA256: strings.Repeat("ab", 32)}},
		Places: map[string]resolver.Place{"sahel": {FailureDomains: map[string]resolver.FailureDomain{
			"sousse": {Services: service}, "monastir": {Services: service},
		}}},
	}}}
}

func submitJobs(w *driver.World) {
	random := rand.New(rand.NewPCG(seed, seed))
	for i := range 40 {
		submission := messenger.Submission{
			Key:      messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: fmt.Sprintf("job-%d", i)},
			Kind:     messenger.KindJob,
			Deadline: 10 * time.Second,
			Digest:   fmt.Sprint(i),
		}
		for range 1 + random.IntN(6) {
			payload, _ := json.Marshal(driver.Payload{RunTime: time.Duration(50+random.IntN(400)) * time.Millisecond, Echo: "secret text"})
			submission.Tasks = append(submission.Tasks, messenger.TaskSpec{Payload: payload})
		}
		entry := fmt.Sprintf("entry-%d", i%3+1)
		w.At(3*time.Second+time.Duration(i)*80*time.Millisecond, func() { w.Submit(entry, submission) })
		w.At(7*time.Second+time.Duration(i)*80*time.Millisecond, func() { w.Submit("entry-2", submission) })
	}
}

func writeDecision(t *testing.T, to *bytes.Buffer, decision coordinator.Decision) {
	t.Helper()
	text, err := json.Marshal(decision)
	if err != nil {
		t.Fatal(err)
	}
	to.Write(append(text, '\n'))
}

func replay(t *testing.T, trace []byte) []byte {
	t.Helper()
	var output bytes.Buffer
	r := Replayer{Trace: bytes.NewReader(trace), Output: &output}
	if err := r.Run(); err != nil {
		t.Fatal(err)
	}
	return output.Bytes()
}

// Guards against decisions that depend on anything other than the recorded events, for
// example on the iteration order of a map or on the system clock.
func TestReplayGivesTheSameDecisions(t *testing.T) {
	trace, want := recordRun(t)
	var got bytes.Buffer
	for line := range bytes.Lines(replay(t, trace)) {
		var output Output
		if err := json.Unmarshal(line, &output); err != nil {
			t.Fatal(err)
		}
		if output.Kind == "Decision" {
			got.Write(output.Body)
			got.WriteByte('\n')
		}
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Errorf("seed %d: replayed decisions differ from the recorded ones (-want +got): %s", seed, diff)
	}
	if len(want) == 0 {
		t.Error("no decisions were recorded")
	}
}

// Guards against replays of the same trace that give different output.
func TestReplayIsByteIdentical(t *testing.T) {
	trace, _ := recordRun(t)
	first := replay(t, trace)
	for range 3 {
		if err := Compare(bytes.NewReader(first), bytes.NewReader(replay(t, trace))); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against traces that contain payloads, results or key hashes.
func TestTraceHoldsNoSecrets(t *testing.T) {
	trace, _ := recordRun(t)
	for _, secret := range []string{strings.Repeat("ab", 32), "secret text", "c2VjcmV0IHRleHQ"} {
		if bytes.Contains(trace, []byte(secret)) {
			t.Errorf("the trace contains %q", secret)
		}
	}
}

// Guards against a comparison that misses a difference or reports the wrong line.
func TestCompare(t *testing.T) {
	tests := []struct {
		name      string
		want, got string
		line      int
	}{
		{"equal", "a\nb\n", "a\nb\n", 0},
		{"changed", "a\nb\n", "a\nc\n", 2},
		{"missing", "a\nb\n", "a\n", 2},
		{"extra", "a\n", "a\nb\n", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := Compare(strings.NewReader(test.want), strings.NewReader(test.got))
			var difference *Difference
			differs := errors.As(err, &difference)
			if differs != (test.line > 0) || (differs && difference.Line != test.line) {
				t.Errorf("got %v, want a difference in line %d", err, test.line)
			}
		})
	}
}
