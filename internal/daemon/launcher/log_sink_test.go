package launcher

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// Guards against a log that blocks its process or grows without bound, and
// against lines that go missing without a word.
func TestLogSinkDropsAndCounts(t *testing.T) {
	var output bytes.Buffer
	sink := &LogSink{Output: &output}
	line := []byte(strings.Repeat("x", logBufferBytes/2-1) + "\n")
	for range 4 {
		if n, err := sink.Write(line); n != len(line) || err != nil {
			t.Fatalf("write gave %d, %v", n, err)
		}
	}
	if err := sink.Sync(); err != nil {
		t.Fatal(err)
	}
	if got := output.String(); strings.Count(got, "\n") != 3 || !strings.Contains(got, `"count":2`) {
		t.Errorf("%d lines, last: %q", strings.Count(got, "\n"), got[len(got)-90:])
	}
	output.Reset()
	if _, err := sink.Write([]byte("later\n")); err != nil {
		t.Fatal(err)
	}
	if err := sink.Sync(); err != nil || output.String() != "later\n" {
		t.Errorf("after a flush: %q, %v", output.String(), err)
	}
}

type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("pipe closed") }

// Guards against an output that is gone and fills the memory.
func TestLogSinkGoesOnWithoutOutput(t *testing.T) {
	sink := &LogSink{Output: brokenWriter{}}
	for range 3 {
		if _, err := sink.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
		if err := sink.Sync(); err == nil {
			t.Error("the broken output was not reported")
		}
	}
	if len(sink.buffer) != 0 {
		t.Errorf("%d bytes wait", len(sink.buffer))
	}
}
