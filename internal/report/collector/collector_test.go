package collector

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/klauspost/compress/zstd"
)

func read(t *testing.T, log io.Reader) *Run {
	t.Helper()
	run := &Run{}
	if err := (&Collector{Sink: run}).Read(t.Context(), "entry-1", log); err != nil {
		t.Fatal(err)
	}
	return run
}

func answeredLine(at time.Time, status int, outcome string) string {
	return fmt.Sprintf(`{"ts":%q,"msg":"answered","id":"j","queue":"q","status":%d,"outcome":%q,"after":0.25,"retry_after":1.4}`+"\n",
		at.Format(time.RFC3339Nano), status, outcome)
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a damaged line that ends the report or is counted as an answer, and against
// good lines beside it that are lost.
func TestBadLinesAreCounted(t *testing.T) {
	good := answeredLine(start, 200, "completed: ")
	log := good + "no json\n" + `{"msg":"answered"` + "\n\n" + `{"ts":"yesterday","msg":"answered"}` + "\n" +
		`{"ts":"2026-01-01T00:00:00Z"}` + "\n" + strings.Repeat("x", 2*maxLineBytes) + "\n" +
		`{"ts":"2026-01-01T00:00:00Z","msg":"answered","status":"late","after":[1]}` + "\n" + strings.TrimSuffix(good, "\n")
	run := read(t, strings.NewReader(log))
	if run.Lines != 3 || run.Bad != 5 || len(run.BadSamples) != maxBadSamples {
		t.Errorf("%d lines, %d bad, samples %q", run.Lines, run.Bad, run.BadSamples)
	}
	if got := run.Total.Queues["q"].Answers; !cmp.Equal(got, map[Class]int{ClassCompleted: 2}) {
		t.Errorf("answers %v", got)
	}
}

// Guards against answers in the wrong class.
func TestAnswersAreClassified(t *testing.T) {
	var log strings.Builder
	for _, answer := range []struct {
		status  int
		outcome string
	}{
		{200, "completed: "},
		{200, "failed: a task has failed"},
		{429, "quota: too many"},
		{503, "overloaded: the wait of 40ms"},
		{504, "outcome_unknown: the deadline passed"},
		{418, ""},
	} {
		log.WriteString(answeredLine(start, answer.status, answer.outcome))
	}
	run := read(t, strings.NewReader(log.String()))
	want := map[Class]int{ClassCompleted: 1, ClassFailed: 1, ClassRefused: 2, ClassUnknown: 1, ClassOther: 1}
	if diff := cmp.Diff(want, run.Total.Queues["q"].Answers); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(Counts{"quota": 1, "overloaded": 1, "outcome_unknown": 1}, run.Total.Refusals); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(Counts{"1s": 3}, run.Total.RetryAfter); diff != "" {
		t.Error(diff)
	}
	if got := run.Total.Queues["q"].LatencyAt(50); got < 0.24 || got > 0.26 {
		t.Errorf("median latency %v s", got)
	}
}

// Guards against a report of a long run that keeps a slot for each second, or that loses
// answers when slots are joined.
func TestSlotsAreBounded(t *testing.T) {
	const answers = 20_000
	var log strings.Builder
	for i := range answers {
		log.WriteString(answeredLine(start.Add(time.Duration(i)*7*time.Second), 200, "completed: "))
	}
	run := read(t, strings.NewReader(log.String()))
	counted := 0
	for _, slot := range run.Slots {
		counted += slot.Queues["q"].Answers[ClassCompleted]
	}
	if len(run.Slots) > maxSlots || counted != answers {
		t.Errorf("%d slots of %v with %d answers", len(run.Slots), run.Width, counted)
	}
	if got := run.End.Sub(run.Begin); got != (answers-1)*7*time.Second {
		t.Errorf("the run lasts %v", got)
	}
}

// Guards against names in the log that make the report grow without bound.
func TestNamesAreBounded(t *testing.T) {
	run := &Run{}
	for i := range 3 * maxNames {
		run.Add(&Line{Time: start, Process: "entry-1", Message: "request refused", Reason: strings.Repeat("x", i+1), Status: 503})
	}
	if len(run.Total.Refusals) > maxNames+1 || run.Total.Refusals[otherName] < maxNames {
		t.Errorf("%d reasons, %d others", len(run.Total.Refusals), run.Total.Refusals[otherName])
	}
}

// Guards against a compressed log that is read as damaged lines, and a damaged one that is
// taken for a short log.
func TestCompressedLogs(t *testing.T) {
	log, err := os.ReadFile("../testdata/day.log")
	if err != nil {
		t.Fatal(err)
	}
	var compressed bytes.Buffer
	writer, err := zstd.NewWriter(&compressed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Write(log); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	plain, unpacked := read(t, bytes.NewReader(log)), read(t, bytes.NewReader(compressed.Bytes()))
	if plain.Lines == 0 || plain.Lines != unpacked.Lines || unpacked.Bad != 0 {
		t.Errorf("%d lines, %d compressed, %d bad", plain.Lines, unpacked.Lines, unpacked.Bad)
	}
	if len(plain.Processes) < 10 || plain.Processes["edge-sousse-1"] == nil {
		t.Errorf("processes %v", SortedKeys(plain.Processes))
	}
	cut := compressed.Bytes()[:compressed.Len()/2]
	if err := (&Collector{Sink: &Run{}}).Read(t.Context(), "entry-1", bytes.NewReader(cut)); err == nil {
		t.Error("a truncated log was read without an error")
	}
}

// failingReader fails after its text.
type failingReader struct{ text io.Reader }

var errDisk = errors.New("disk failure")

func (r failingReader) Read(p []byte) (int, error) {
	n, err := r.text.Read(p)
	if errors.Is(err, io.EOF) {
		err = errDisk
	}
	return n, err
}

// Guards against a read error that is taken for the end of the log.
func TestReadErrorsAreReported(t *testing.T) {
	log := failingReader{strings.NewReader(answeredLine(start, 200, "completed: "))}
	if err := (&Collector{Sink: &Run{}}).Read(t.Context(), "entry-1", log); !errors.Is(err, errDisk) {
		t.Errorf("got %v", err)
	}
}
