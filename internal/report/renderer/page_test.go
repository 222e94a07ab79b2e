package renderer

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/report/collector"
)

func recordedDay(t *testing.T) *collector.Run {
	t.Helper()
	log, err := os.Open("../testdata/day.log")
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	run := &collector.Run{}
	if err := (&collector.Collector{Sink: run}).Read(t.Context(), "day", log); err != nil {
		t.Fatal(err)
	}
	return run
}

// Guards against a page without its plots or tables, with unescaped texts of a log, or that
// loads anything from elsewhere.
func TestPageIsComplete(t *testing.T) {
	run := recordedDay(t)
	run.Total.Refusals["<script>"] = 1
	run.AddBad("<img>", errors.New("damaged"))
	var out bytes.Buffer
	if err := WriteHTML(&out, "Report of <day>", run, FiguresOf(run, nil)); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	for _, want := range []string{`id="queues"`, `id="refusals"`, `id="marks"`, `id="processes"`, `id="bad-lines"`, "overloaded", "side-sousse-3"} {
		if !strings.Contains(text, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
	if got := strings.Count(text, "<svg"); got != 6 {
		t.Errorf("%d plots, want 6", got)
	}
	for _, unwanted := range []string{"<script", "<img", "src=", "<link", "Report of <day>"} {
		if strings.Contains(text, unwanted) {
			t.Errorf("the page contains %s", unwanted)
		}
	}
	for _, part := range strings.Split(text, "<svg")[1:] {
		svg, _, closed := strings.Cut(part, "</svg>")
		if err := wellFormed("<svg" + svg + "</svg>"); err != nil || !closed {
			t.Errorf("a plot is not well formed: %v", err)
		}
	}
}

func wellFormed(text string) error {
	decoder := xml.NewDecoder(strings.NewReader(text))
	for {
		if _, err := decoder.Token(); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// Guards against figures that contradict the log.
func TestFigures(t *testing.T) {
	var run collector.Run
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i, after := range []time.Duration{10, 20, 30, 400} {
		run.Add(&collector.Line{
			Time: begin.Add(time.Duration(i) * time.Second), Process: "entry-1", Message: "answered", Queue: "q",
			Status: 200, Outcome: "completed: ", After: after * time.Millisecond,
		})
	}
	run.Add(&collector.Line{Time: begin, Process: "entry-1", Message: "entry starts"})
	var out bytes.Buffer
	if err := WriteJSON(&out, FiguresOf(&run, map[string]time.Duration{"q": 100 * time.Millisecond})); err != nil {
		t.Fatal(err)
	}
	var got Figures
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got.Lines != 5 || got.Queues[0].Answers[collector.ClassCompleted] != 4 || *got.Queues[0].WithinObjective != 0.75 {
		t.Errorf("%s", out.String())
	}
	want := []ProcessFigures{{Process: "entry-1", Lines: 5, Starts: 1, First: begin, Last: begin.Add(3 * time.Second)}}
	if diff := cmp.Diff(want, got.Processes); diff != "" {
		t.Error(diff)
	}
}
