package launcher

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// Guards against a log buffer that blocks its process or grows without limit, and against
// lines that are dropped without a notice in the log.
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

// Guards against a buffer that grows without limit because all writes to the output fail.
func TestLogSinkKeepsAcceptingWhenOutputFails(t *testing.T) {
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
		t.Errorf("%d bytes are still buffered", len(sink.buffer))
	}
}

// Guards against log lines that a collector cuts in two. Every write must end with a
// newline and must not exceed the size of an atomic write to a pipe.
func TestLogSinkWritesWholeLines(t *testing.T) {
	output := &writeRecorder{}
	sink := &LogSink{Output: output}
	var want strings.Builder
	for i := range 100 {
		line := strings.Repeat("x", 150+i) + "\n"
		want.WriteString(line)
		if _, err := sink.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	if err := sink.Sync(); err != nil {
		t.Fatal(err)
	}
	if strings.Join(output.written, "") != want.String() {
		t.Error("the lines were not written as they came")
	}
	for _, piece := range output.written {
		if len(piece) > maxLogWriteBytes || !strings.HasSuffix(piece, "\n") {
			t.Errorf("a write of %d bytes ends with %q", len(piece), piece[len(piece)-1:])
		}
	}
}

// writeRecorder records each write separately.
type writeRecorder struct{ written []string }

func (p *writeRecorder) Write(data []byte) (int, error) {
	p.written = append(p.written, string(data))
	return len(data), nil
}
