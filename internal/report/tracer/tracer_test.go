package tracer

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/report/collector"
)

// story reads the recorded day without the lines of one process.
func story(t *testing.T, id, without string) *Story {
	t.Helper()
	log, err := os.ReadFile("../testdata/day.log")
	if err != nil {
		t.Fatal(err)
	}
	var kept bytes.Buffer
	for line := range bytes.Lines(log) {
		if without == "" || !bytes.Contains(line, []byte(" "+without+" {")) {
			kept.Write(line)
		}
	}
	s := &Story{ID: id}
	if err := (&collector.Collector{Sink: s}).Read(t.Context(), "day", &kept); err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a story that names a wrong cause, and against one that is told although a
// log that decides it is missing.
func TestCauses(t *testing.T) {
	cases, err := os.ReadFile("testdata/causes.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(cases) {
		var c struct{ Name, ID, Without, Cause string }
		if err := json.Unmarshal(line, &c); err != nil {
			t.Fatal(err)
		}
		t.Run(c.Name, func(t *testing.T) {
			s := story(t, c.ID, c.Without)
			if got := s.Cause(); got != c.Cause {
				t.Errorf("got %q, want %q", got, c.Cause)
			}
			var told strings.Builder
			if err := s.Write(&told); err != nil || !strings.HasSuffix(told.String(), "cause: "+c.Cause+"\n") {
				t.Errorf("%v, %s", err, told.String())
			}
		})
	}
}

// Guards against a start that is shown before its placement because the clocks of two hosts
// differ, and against an unmentioned correction.
func TestClocksAreAligned(t *testing.T) {
	s := story(t, "ce39b04204d4ddd4", "")
	for i := range s.Lines {
		if s.Lines[i].Process == "side-sousse-3" {
			s.Lines[i].Time = s.Lines[i].Time.Add(-2 * time.Second)
		}
	}
	var told strings.Builder
	if err := s.Write(&told); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(told.String(), "the clock of side-sousse-3 is at least 1.99") {
		t.Error(told.String())
	}
	placed := strings.Index(told.String(), "endpoint=side-sousse-3")
	started := strings.Index(told.String(), "side-sousse-3        decision kind=start")
	if placed < 0 || started < placed {
		t.Errorf("the start is told before the placement:\n%s", told.String())
	}
}
