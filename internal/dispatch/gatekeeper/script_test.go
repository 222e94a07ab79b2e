package gatekeeper

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
		g := &gate{t: t, state: &State{Name: "a1", Incarnation: "a1~1"}}
		for _, step := range script.Steps {
			g.step(step)
		}
	})
}

// gate drives an agent's decision state by a script.
type gate struct {
	t       *testing.T
	state   *State
	now     time.Duration
	effects []Effect
	slots   int
	milli   int
}

func (g *gate) handle(event Event) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(g.now)
	g.effects = append(g.effects, g.state.Handle(at, event)...)
}

func (g *gate) receive(from string, m messenger.Message) {
	g.handle(Received{From: messenger.Incarnation(from), Message: m})
}

func (g *gate) step(step scripter.Step) {
	g.t.Helper()
	g.now = step.At
	g.effects = nil
	g.apply(step)
	reports := step.Has("reports") || strings.Contains(strings.Join(step.Want, " "), "report")
	var got []string
	for _, effect := range g.effects {
		if text := render(effect, reports); text != "" {
			got = append(got, text)
		}
	}
	if diff := cmp.Diff(step.Want, got); diff != "" {
		g.t.Errorf("line %d: %s (-want +got):\n%s", step.Line, step.Verb, diff)
	}
}

func (g *gate) apply(step scripter.Step) {
	from := step.Text("from", "e1")
	switch step.Verb {
	case "serve":
		g.serve(step)
	case "confirm":
		g.confirmUntil(step)
	case "announce":
		g.slots = step.Int(g.t, "slots", g.slots)
		g.handle(g.announcement())
	case "depart":
		g.handle(EndpointDeparting{})
	case "drain":
		g.handle(DrainRequested{})
	case "tick":
		g.handle(Tick{})
	case "link":
		g.handle(EntryLinked{Entry: messenger.Incarnation(step.Word(0))})
	case "status":
		g.receive(from, g.status(step))
	case "start":
		g.receive(step.Text("from", step.Text("owner", "e1")), g.start(step))
	case "cancel":
		g.receive(from, messenger.Cancel{Task: task(step.Word(0)), Attempt: step.Int(g.t, "attempt", 0)})
	case "invoked":
		g.handle(g.invoked(step))
	case "fence":
		g.receive(from, messenger.Fence{Owner: messenger.Incarnation(step.Word(0)), Submissions: fencedKeys(step)})
	case "witness":
		g.receive(from, messenger.Witness{
			Owner:   messenger.Incarnation(step.Text("owner", "e1")),
			Outcome: messenger.Outcome{Key: submission(step.Word(0)), Status: messenger.OutcomeComplete},
		})
	default:
		g.t.Fatalf("line %d: unknown verb %s", step.Line, step.Verb)
	}
}

// serve makes the agent ready: an endpoint, two entries and confirmed settings.
func (g *gate) serve(step scripter.Step) {
	g.slots = step.Int(g.t, "slots", 1)
	g.milli = step.Int(g.t, "milli", 0)
	g.handle(g.announcement())
	g.handle(EntryLinked{Entry: "e1"})
	g.handle(EntryLinked{Entry: "e2"})
	step.Named["v"] = step.Text("v", "1")
	step.Named["state"] = "in"
	g.receive("e1", g.status(step))
}

func (g *gate) announcement() EndpointAnnounced {
	return EndpointAnnounced{
		Service: "dispatch", Slots: g.slots, Capacity: messenger.Resources{MilliCPU: g.milli},
	}
}

// confirmUntil keeps endpoint and settings fresh, as a running system does.
func (g *gate) confirmUntil(step scripter.Step) {
	end := step.Duration(g.t, "until", step.At)
	for ; g.now <= end; g.now += 500 * time.Millisecond {
		g.handle(g.announcement())
		g.handle(Tick{})
		g.receive("e1", messenger.Status{
			EchoSequence: g.state.sequence, SettingsVersion: g.state.settings.Version,
		})
	}
}

func (g *gate) status(step scripter.Step) messenger.Status {
	version := uint64(step.Int(g.t, "v", 1))
	m := messenger.Status{
		EchoSequence:    uint64(step.Int(g.t, "echo", int(g.state.sequence))),
		ConfirmedAge:    step.Duration(g.t, "age", 0),
		SettingsVersion: version,
	}
	if state := step.Text("state", ""); state != "" {
		m.Settings = &messenger.AgentSettings{
			Version:         version,
			State:           messenger.DomainState(state),
			QueueLimit:      step.Int(g.t, "queue", 2),
			QueueShare:      step.Float(g.t, "queue_share", 0),
			SettingsLease:   2500 * time.Millisecond,
			StartFreshness:  3 * time.Second,
			RecordRetention: step.Duration(g.t, "horizon", 10*time.Minute),
			OwnerLease:      step.Duration(g.t, "owner_lease", 0),
		}
	}
	return m
}

func (g *gate) start(step scripter.Step) messenger.Start {
	return messenger.Start{
		Task:             task(step.Word(0)),
		Attempt:          step.Int(g.t, "attempt", 0),
		Owner:            messenger.Incarnation(step.Text("owner", "e1")),
		AgentIncarnation: messenger.Incarnation(step.Text("agent", "a1~1")),
		ReportSequence:   uint64(step.Int(g.t, "seq", int(g.state.sequence))),
		TimeLeft:         step.Duration(g.t, "left", 20*time.Second),
		Priority:         messenger.Priority(step.Int(g.t, "priority", int(messenger.PriorityNormal))),
		Repeatable:       step.Has("repeatable"),
		Volatile:         step.Has("volatile"),
		Size:             messenger.Resources{MilliCPU: step.Int(g.t, "milli", 0)},
	}
}

func (g *gate) invoked(step scripter.Step) Invoked {
	result := []byte(step.Text("result", "ok"))
	if size := step.Int(g.t, "size", 0); size > 0 {
		result = make([]byte, size)
	}
	outcome := messenger.TaskOutcome{State: messenger.TaskState(step.Text("state", "succeeded"))}
	if outcome.State == messenger.TaskSucceeded {
		outcome.Result = result
	}
	return Invoked{
		Task: task(step.Word(0)), Attempt: step.Int(g.t, "attempt", 0), Run: step.Int(g.t, "run", 0), Outcome: outcome,
	}
}

func submission(id string) messenger.SubmissionKey {
	return messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: id}
}

func task(name string) messenger.TaskKey {
	id, index, _ := strings.Cut(name, "/")
	number, err := strconv.Atoi(index)
	if err != nil {
		panic(err)
	}
	return messenger.TaskKey{Submission: submission(id), Index: number}
}

func short(key messenger.TaskKey, attempt int) string {
	return fmt.Sprintf("%s/%d attempt=%d", key.Submission.ID, key.Index, attempt)
}

// render writes an effect as a line of a script; decisions are not compared.
func render(effect Effect, reports bool) string {
	switch e := effect.(type) {
	case Send:
		if _, report := e.Message.(messenger.Report); report && !reports {
			return ""
		}
		return string(e.To) + " " + renderMessage(e.Message)
	case Invoke:
		if e.Run > 0 {
			return fmt.Sprintf("invoke %s run=%d", short(e.Task, e.Attempt), e.Run)
		}
		return "invoke " + short(e.Task, e.Attempt)
	case Abort:
		return fmt.Sprintf("abort %s/%d run=%d", e.Task.Submission.ID, e.Task.Index, e.Run)
	case Drained:
		return "drained"
	case DirectoryChanged, Decision:
	}
	return ""
}

func renderMessage(m messenger.Message) string {
	switch m := m.(type) {
	case messenger.Report:
		text := fmt.Sprintf("report slots=%d draining=%t v=%d", m.Load.Slots, m.Load.Draining, m.SettingsVersion)
		if load := m.Load.Running + m.Load.Queued; load > 0 {
			text += fmt.Sprintf(" load=%d", load)
		}
		return text
	case messenger.Refused:
		return fmt.Sprintf("refused %s %s never_started=%t", short(m.Task, m.Attempt), m.Reason, m.NeverStarted)
	case messenger.Finished:
		return "finished " + short(m.Task, m.Attempt) + renderOutcome(m.Outcome)
	case messenger.Cancelled:
		return fmt.Sprintf("cancelled %s %s", short(m.Task, m.Attempt), m.State)
	case messenger.Fenced:
		text := fmt.Sprintf("fenced %s last=%t", m.Owner, m.Last)
		for _, r := range m.Records {
			text += fmt.Sprintf(" [%s %s%s", short(r.Task, r.Attempt), r.State, renderOutcome(r.Outcome))
			if r.StoppedByFence {
				text += " by_fence"
			}
			text += "]"
		}
		for _, w := range m.Witnessed {
			text += fmt.Sprintf(" witnessed=%s", w.Key.ID)
		}
		return text
	case messenger.Witnessed:
		return fmt.Sprintf("witnessed %s accepted=%t", m.Key.ID, m.Accepted)
	default:
		return fmt.Sprintf("%T", m)
	}
}

func renderOutcome(outcome messenger.TaskOutcome) string {
	switch {
	case outcome.State == "":
		return ""
	case len(outcome.Result) > 100:
		return fmt.Sprintf(" %s bytes=%d", outcome.State, len(outcome.Result))
	case outcome.Result == nil:
		return " " + string(outcome.State)
	}
	return fmt.Sprintf(" %s result=%s", outcome.State, outcome.Result)
}

// fencedKeys reads of=ID,ID; without it, the records of j and k are asked for.
func fencedKeys(step scripter.Step) []messenger.SubmissionKey {
	var keys []messenger.SubmissionKey
	for id := range strings.SplitSeq(step.Text("of", "j,k"), ",") {
		keys = append(keys, task(id+"/0").Submission)
	}
	return keys
}
