package driver

import (
	"strings"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/proof/scripter"
)

func expect(t *testing.T, w *World, step scripter.Step) {
	t.Helper()
	switch step.Word(0) {
	case "answered":
		expectAnswered(t, w, step)
	case "answers":
		expectAnswers(t, w, step)
	case "starts":
		expectCount(t, step, "starts", countStarts(t, w, step))
	case "changes":
		expectChanges(t, w, step)
	case "exited":
		if !w.EntryExited(step.Word(1)) {
			t.Errorf("line %d: %s has not exited", step.Line, step.Word(1))
		}
	case "drained":
		if !w.agents[step.Word(1)].drained {
			t.Errorf("line %d: %s has not drained", step.Line, step.Word(1))
		}
	default:
		t.Fatalf("line %d: unknown expectation %s", step.Line, step.Word(0))
	}
}

// expectAnswered requires an answer to each call to an entry that is running, or that was
// drained after the call had arrived. Calls to the entry "except", which was paused or
// crashed, may stay unanswered.
func expectAnswered(t *testing.T, w *World, step scripter.Step) {
	for _, call := range w.Calls {
		_, answered := w.Answer(call.Call)
		if !answered && w.mustAnswer(call) && call.Entry != step.Text("except", "") {
			t.Errorf("line %d: call %d to %s was not answered", step.Line, call.Call, call.Entry)
		}
	}
}

func (w *World) mustAnswer(call CallerCall) bool {
	node := w.entries[call.Entry]
	if node.drainedAt.IsZero() {
		return !node.stopped()
	}
	return w.startTime.Add(call.At + 2*linkDelay).Before(node.drainedAt)
}

// expectAnswers counts the answers of one kind to submissions whose id has the prefix
// "id". The kind is the status of an outcome, the code of a refusal, or "missing".
func expectAnswers(t *testing.T, w *World, step scripter.Step) {
	counts := make(map[string]int)
	submissions := 0
	for _, call := range w.Calls {
		submitted, ok := call.Event.(coordinator.Submitted)
		if !ok || !strings.HasPrefix(submitted.Submission.Key.ID, step.Text("id", "")) {
			continue
		}
		submissions++
		answer, _ := w.Answer(call.Call)
		counts[answerKind(answer)]++
	}
	kind := step.Word(1)
	if share, ok := step.Named["share"]; ok && float64(counts[kind]) < step.Float(t, "share", 0)*float64(submissions) {
		t.Errorf("line %d: %d of %d answers are %s, want a share of %s; %v", step.Line, counts[kind], submissions, kind, share, counts)
	}
	expectCount(t, step, kind, counts[kind])
}

func answerKind(answer coordinator.Answer) string {
	switch a := answer.(type) {
	case coordinator.OutcomeAnswer:
		return string(a.Outcome.Status)
	case coordinator.RefusalAnswer:
		return string(a.Refusal.Code)
	}
	return "missing"
}

func expectCount(t *testing.T, step scripter.Step, what string, count int) {
	if count < step.Int(t, "min", 0) || count > step.Int(t, "max", count) {
		t.Errorf("line %d: %d %s, want min=%s max=%s", step.Line, count, what, step.Text("min", "-"), step.Text("max", "-"))
	}
}

// countStarts counts the starts later than after= and before until= whose failure domain,
// agent and submission id have the prefixes domain=, agent= and id=. after=take_out
// stands for MaxTakeOutDelay after the acceptance of the first settings change.
func countStarts(t *testing.T, w *World, step scripter.Step) int {
	after := startsAfter(t, w, step)
	until := step.Duration(t, "until", time.Hour)
	count := 0
	for _, start := range w.Starts {
		matches := strings.HasPrefix(start.FailureDomain, step.Text("domain", "")) &&
			strings.HasPrefix(start.Agent, step.Text("agent", "")) &&
			strings.HasPrefix(start.Task.Submission.ID, step.Text("id", ""))
		if matches && start.At > after && start.At < until {
			count++
		}
	}
	return count
}

func startsAfter(t *testing.T, w *World, step scripter.Step) time.Duration {
	if step.Text("after", "") != "take_out" {
		return step.Duration(t, "after", 0)
	}
	if len(w.Accepted) == 0 {
		t.Fatalf("line %d: no settings change was accepted", step.Line)
	}
	return w.Accepted[0].At + MaxTakeOutDelay
}

func expectChanges(t *testing.T, w *World, step scripter.Step) {
	accepted, conflicts := 0, 0
	for _, change := range w.Changes {
		if change.Accepted {
			accepted++
		}
		if change.Conflict {
			conflicts++
		}
	}
	if accepted != step.Int(t, "accepted", accepted) || conflicts != step.Int(t, "conflicts", conflicts) {
		t.Errorf("line %d: %d settings changes were accepted and %d had conflicts", step.Line, accepted, conflicts)
	}
}
