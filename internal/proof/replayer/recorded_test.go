package replayer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Guards against unintended changes of decisions: the replay of traces that the demo
// recorded over real sockets must give the stored decisions byte for byte, and the
// expected number of outcomes. scripts/record_traces.sh records new traces.
func TestRecordedTraces(t *testing.T) {
	tests := []struct {
		name     string
		complete int
		failed   int
	}{
		{"lamis_calm", 5, 0},
		{"lamis_mixed", 7, 3},
		{"apfm_calm", 5, 0},
		{"apfm_entry_crash", 10, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := replay(t, readGzip(t, test.name+".trace.gz"))
			want := readGzip(t, test.name+".expected.gz")
			if err := Compare(bytes.NewReader(want), bytes.NewReader(got)); err != nil {
				t.Fatal(err)
			}
			wantOutcomes := map[messenger.OutcomeStatus]int{
				messenger.OutcomeComplete: test.complete, messenger.OutcomeFailed: test.failed,
			}
			if diff := cmp.Diff(wantOutcomes, countOutcomes(t, got)); diff != "" {
				t.Errorf("numbers of outcomes sent to callers (-want +got): %s", diff)
			}
		})
	}
}

func readGzip(t *testing.T, name string) []byte {
	t.Helper()
	file, err := os.Open("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	reader, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// countOutcomes returns the number of submissions by the status of the last outcome
// that was sent to a caller.
func countOutcomes(t *testing.T, output []byte) map[messenger.OutcomeStatus]int {
	t.Helper()
	answered := make(map[string]messenger.OutcomeStatus)
	for line := range bytes.Lines(output) {
		var o Output
		if err := json.Unmarshal(line, &o); err != nil {
			t.Fatal(err)
		}
		if o.Kind != "Reply" {
			continue
		}
		var body struct {
			Answer struct {
				Kind string `json:"kind"`
				Body struct {
					Outcome messenger.Outcome `json:"outcome"`
				} `json:"body"`
			} `json:"answer"`
		}
		if err := json.Unmarshal(o.Body, &body); err != nil {
			t.Fatal(err)
		}
		if body.Answer.Kind == "OutcomeAnswer" {
			answered[body.Answer.Body.Outcome.Key.String()] = body.Answer.Body.Outcome.Status
		}
	}
	counts := map[messenger.OutcomeStatus]int{messenger.OutcomeComplete: 0, messenger.OutcomeFailed: 0}
	for _, status := range answered {
		counts[status]++
	}
	return counts
}
