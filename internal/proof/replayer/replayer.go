// Package replayer passes the events of a recorded trace to an entry's decision code,
// without sockets, and compares the decisions with the expected ones.
package replayer

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/proof/recorder"
)

// Output is the JSON form of one effect, with the time and the trace line of the event
// that caused the effect.
type Output struct {
	Line int       `json:"line"`
	At   time.Time `json:"at"`
	recorder.Typed
}

// Replayer replays a trace. Its exported fields must be set before Run.
type Replayer struct {
	Trace io.Reader
	// Output receives one JSON line per effect.
	Output io.Writer
	// Messages selects whether messages and store calls are written as well, in
	// addition to decisions and answers.
	Messages bool
}

// Run replays the whole trace and writes its effects to Output.
func (r *Replayer) Run() error {
	reader, header, err := recorder.NewReader(r.Trace)
	if err != nil {
		return err
	}
	state := &coordinator.State{
		Config: coordinator.Defaults(header.Name, header.Incarnation, header.Address),
		Random: rand.New(rand.NewPCG(header.Seed, header.Seed)),
	}
	for {
		at, event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, effect := range state.Handle(at, event) {
			if err := r.print(reader.LineNumber(), at, effect); err != nil {
				return err
			}
		}
	}
}

func (r *Replayer) print(line int, at time.Time, effect coordinator.Effect) error {
	if !r.Messages && !isDecisionOrAnswer(effect) {
		return nil
	}
	typed, err := recorder.EncodeEffect(effect)
	if err != nil {
		return err
	}
	text, err := json.Marshal(Output{Line: line, At: at, Typed: typed})
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	if _, err := r.Output.Write(append(text, '\n')); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// isDecisionOrAnswer reports whether an effect is a decision, an answer to a caller or
// the end of the entry. All other effects follow from these.
func isDecisionOrAnswer(effect coordinator.Effect) bool {
	switch effect.(type) {
	case coordinator.Decision, coordinator.Reply, coordinator.Drained, coordinator.Exit:
		return true
	default:
		return false
	}
}

// Difference is the first line in which two outputs differ. Line counts from 1.
type Difference struct {
	Line int
	Want string
	Got  string
}

// Error returns the line number and the contents of both lines.
func (d *Difference) Error() string {
	return fmt.Sprintf("line %d differs:\n  want %s\n  got  %s", d.Line, d.Want, d.Got)
}

// maxOutputLineBytes is the maximum length of an output line.
const maxOutputLineBytes = 128 << 20

// endOfOutput takes the place of a missing line in a Difference.
const endOfOutput = "(end of output)"

// Compare returns a *Difference for the first line in which the outputs differ. If all
// lines are equal, Compare returns the errors of reading the outputs, or nil.
func Compare(want, got io.Reader) error {
	wantLines, gotLines := newLineScanner(want), newLineScanner(got)
	for number := 1; ; number++ {
		wantMore, gotMore := wantLines.Scan(), gotLines.Scan()
		if !wantMore && !gotMore {
			return errors.Join(wantLines.Err(), gotLines.Err())
		}
		w, g := endOfOutput, endOfOutput
		if wantMore {
			w = wantLines.Text()
		}
		if gotMore {
			g = gotLines.Text()
		}
		if w != g {
			return &Difference{Line: number, Want: w, Got: g}
		}
	}
}

func newLineScanner(source io.Reader) *bufio.Scanner {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxOutputLineBytes)
	return scanner
}
