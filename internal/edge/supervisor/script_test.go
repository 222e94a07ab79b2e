package supervisor

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/scripter"
)

// Guards against the failure that the first line of each script names.
func TestScripts(t *testing.T) {
	scripter.Each(t, "testdata/*.txtar", func(t *testing.T, script scripter.Script) {
		t.Log(script.Guards)
		h := &harness{t: t, state: &State{Token: 7, Boot: Boot{Address: "endpoint"}}}
		for _, step := range script.Steps {
			h.step(step)
		}
	})
}

// harness runs a script against a supervisor's state.
type harness struct {
	t       *testing.T
	state   *State
	effects []Effect
	// holds are the numbers of the holds that have not been answered, oldest first.
	holds []uint64
	// probes are the numbers of the probes that have not been answered, oldest first.
	probes []uint64
	born   int64
}

func (h *harness) handle(at time.Duration, event Event) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(at)
	effects := h.state.Handle(now, event)
	h.effects = append(h.effects, effects...)
	for _, effect := range effects {
		if hold, ok := effect.(CallHold); ok {
			if _, probing := h.state.probes[hold.Call]; probing {
				h.probes = append(h.probes, hold.Call)
				continue
			}
			h.holds = append(h.holds, hold.Call)
		}
	}
}

func (h *harness) step(step scripter.Step) {
	h.t.Helper()
	h.effects = nil
	h.apply(step)
	var got []string
	for _, effect := range h.effects {
		if text := render(effect, strings.Join(step.Want, "\n")); text != "" {
			got = append(got, text)
		}
	}
	if diff := cmp.Diff(step.Want, got); diff != "" {
		h.t.Errorf("line %d: %s (-want +got):\n%s", step.Line, step.Verb, diff)
	}
}

func (h *harness) apply(step scripter.Step) {
	switch step.Verb {
	case "tick":
		h.handle(step.At, Tick{})
	case "ready":
		h.born = 1
		h.handle(step.At, Tick{})
		h.hold(step)
	case "announce":
		h.handle(step.At, Announced{Boot: Boot{
			ID: step.Text("id", "i1"), Address: step.Text("address", "endpoint"), Born: int64(step.Int(h.t, "born", 1)),
		}})
	case "invoke":
		r := runNamed(step.Word(0))
		h.handle(step.At, Invoke{Run: r, Task: messenger.TaskKey{Submission: messenger.SubmissionKey{ID: r.Job}}})
	case "abort":
		h.handle(step.At, Abort{Run: runNamed(step.Word(0))})
	case "started":
		h.handle(step.At, StartAnswered{
			Run: runNamed(step.Word(0)), Refusal: Refusal(step.Text("refusal", "")), NoAnswer: step.Has("lost"),
		})
	case "stopped":
		h.handle(step.At, StopAnswered{
			Run: runNamed(step.Word(0)), Refusal: Refusal(step.Text("refusal", "")), NoAnswer: step.Has("lost"),
		})
	case "hold":
		h.hold(step)
	case "probe":
		if len(h.probes) == 0 {
			h.t.Fatalf("line %d: no probe to answer", step.Line)
		}
		call := h.probes[0]
		h.probes = h.probes[1:]
		h.answer(step, call, int64(step.Int(h.t, "born", 0)))
	default:
		h.t.Fatalf("line %d: unknown verb %s", step.Line, step.Verb)
	}
}

// hold answers the oldest pending hold, or the newest one if the step says "newest".
func (h *harness) hold(step scripter.Step) {
	if len(h.holds) == 0 {
		h.t.Fatalf("line %d: no hold to answer", step.Line)
	}
	at := 0
	if step.Has("newest") {
		at = len(h.holds) - 1
	}
	call := h.holds[at]
	h.holds = append(h.holds[:at], h.holds[at+1:]...)
	h.born = int64(step.Int(h.t, "born", int(h.born)))
	h.answer(step, call, h.born)
}

func (h *harness) answer(step scripter.Step, call uint64, born int64) {
	e := HoldAnswered{
		Call: call, NoAnswer: step.Has("lost"), Refusal: Refusal(step.Text("refusal", "")),
		Lists: Lists{Born: born, Clock: 1000*time.Second + step.At},
	}
	for _, name := range fields(step.Text("running", "")) {
		e.Lists.Running = append(e.Lists.Running, runNamed(name))
	}
	for _, text := range fields(step.Text("ended", "")) {
		parts := strings.Split(text, ":")
		number, err := strconv.Atoi(parts[0])
		if err != nil {
			h.t.Fatal(err)
		}
		e.Lists.Ended = append(e.Lists.Ended, End{Number: number, Run: runNamed(parts[1]), Kind: EndKind(parts[2])})
	}
	h.handle(step.At, e)
}

func fields(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}

// runNamed parses job.index.number.
func runNamed(name string) Run {
	parts := strings.Split(name, ".")
	index, indexErr := strconv.Atoi(parts[1])
	number, numberErr := strconv.Atoi(parts[2])
	if indexErr != nil || numberErr != nil {
		panic("run " + name)
	}
	return Run{Job: parts[0], Position: messenger.Position{Index: index}, Number: number}
}

func nameOf(r Run) string {
	return fmt.Sprintf("%s.%d.%d", r.Job, r.Position.Index, r.Number)
}

// render formats an effect as a line of a script. It returns an empty string for
// effects that are not compared, and for holds unless the step expects one.
func render(effect Effect, wanted string) string {
	switch e := effect.(type) {
	case CallStart:
		return fmt.Sprintf("start %s until=%s token=%d", nameOf(e.Start.Run), e.Start.Until, e.Start.Token)
	case CallStop:
		return fmt.Sprintf("stop %s token=%d", nameOf(e.Stop.Run), e.Stop.Token)
	case CallHold:
		if strings.Contains(wanted, "hold ") {
			text := fmt.Sprintf("hold until=%s token=%d observed=%d wait=%s",
				e.Hold.Until, e.Hold.Token, e.Hold.Observed, e.Hold.Wait)
			if strings.Contains(wanted, "boot=") {
				text += " boot=" + e.Hold.Boot.ID
			}
			return text
		}
	case Ended:
		return fmt.Sprintf("ended %s %s", nameOf(e.Run), e.Outcome.State)
	case Ready:
		return "ready"
	case Unready:
		return "unready"
	case Confirmed:
		return fmt.Sprintf("confirmed %s born=%d", e.Boot.ID, e.Boot.Born)
	case Unconfirmed:
		return fmt.Sprintf("unconfirmed %s born=%d", e.Boot.ID, e.Boot.Born)
	case LogMessage:
	}
	return ""
}
