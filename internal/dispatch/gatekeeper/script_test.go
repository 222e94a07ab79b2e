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
		h := &harness{t: t, state: &State{Name: "a1", Incarnation: "a1~1"}}
		for _, step := range script.Steps {
			h.step(step)
		}
	})
}

// harness runs a script against an agent's decision state.
type harness struct {
	t       *testing.T
	state   *State
	now     time.Duration
	effects []Effect
	slots   int
	milli   int
	boot    int
}

func (h *harness) handle(event Event) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(h.now)
	h.effects = append(h.effects, h.state.Handle(at, event)...)
}

func (h *harness) receive(from string, m messenger.Message) {
	h.handle(Received{From: messenger.Incarnation(from), Message: m})
}

func (h *harness) step(step scripter.Step) {
	h.t.Helper()
	h.now = step.At
	h.effects = nil
	h.apply(step)
	reports := step.Has("reports") || strings.Contains(strings.Join(step.Want, " "), "report")
	var got []string
	for _, effect := range h.effects {
		if text := render(effect, reports); text != "" {
			got = append(got, text)
		}
	}
	if diff := cmp.Diff(step.Want, got); diff != "" {
		h.t.Errorf("line %d: %s (-want +got):\n%s", step.Line, step.Verb, diff)
	}
}

func (h *harness) apply(step scripter.Step) {
	from := step.Text("from", "e1")
	switch step.Verb {
	case "serve":
		h.serve(step)
	case "confirm":
		h.confirmUntil(step)
	case "announce":
		h.slots = step.Int(h.t, "slots", h.slots)
		h.boot = step.Int(h.t, "boot", h.boot)
		h.handle(h.announcement())
	case "depart":
		h.handle(EndpointDeparting{})
	case "drain":
		h.handle(DrainRequested{})
	case "tick":
		h.handle(Tick{})
	case "leave":
		h.handle(LeaveEntries{Entries: []messenger.Incarnation{messenger.Incarnation(step.Word(0))}})
	case "link":
		h.handle(EntryLinked{Entry: messenger.Incarnation(step.Word(0))})
	case "status":
		h.receive(from, h.status(step))
	case "start":
		h.receive(step.Text("from", step.Text("owner", "e1")), h.start(step))
	case "cancel":
		h.receive(from, messenger.Cancel{
			Task: task(step.Word(0)), Attempt: step.Int(h.t, "attempt", 0), Volatile: step.Has("volatile"),
			ReportSequence: uint64(step.Int(h.t, "seq", int(h.state.sequence))),
		})
	case "verified":
		h.handle(DomainVerified{Out: step.Has("out")})
	case "invoked":
		h.handle(h.invoked(step))
	case "fence":
		h.receive(from, messenger.Fence{Owner: messenger.Incarnation(step.Word(0)), Submissions: fencedKeys(step)})
	case "witness":
		h.receive(from, messenger.Witness{
			Owner:   messenger.Incarnation(step.Text("owner", "e1")),
			Outcome: messenger.Outcome{Key: submission(step.Word(0)), Status: messenger.OutcomeComplete},
		})
	default:
		h.t.Fatalf("line %d: unknown verb %s", step.Line, step.Verb)
	}
}

// serve prepares the agent: an announced endpoint, two linked entries and confirmed
// settings.
func (h *harness) serve(step scripter.Step) {
	h.slots = step.Int(h.t, "slots", 1)
	h.milli = step.Int(h.t, "milli", 0)
	h.state.VerifyAfter = step.Duration(h.t, "verify_after", 0)
	h.handle(h.announcement())
	h.handle(EntryLinked{Entry: "e1"})
	h.handle(EntryLinked{Entry: "e2"})
	step.Named["v"] = step.Text("v", "1")
	step.Named["state"] = "in"
	h.receive("e1", h.status(step))
}

func (h *harness) announcement() EndpointAnnounced {
	return EndpointAnnounced{
		Service: "dispatch", Slots: h.slots, Capacity: messenger.Resources{MilliCPU: h.milli}, Boot: int64(h.boot),
	}
}

// confirmUntil renews the endpoint's announcement and the confirmation of the settings
// every 500 ms.
func (h *harness) confirmUntil(step scripter.Step) {
	end := step.Duration(h.t, "until", step.At)
	for ; h.now <= end; h.now += 500 * time.Millisecond {
		h.handle(h.announcement())
		h.handle(Tick{})
		h.receive("e1", messenger.Status{
			EchoSequence: h.state.sequence, SettingsVersion: h.state.settings.Version,
		})
	}
}

func (h *harness) status(step scripter.Step) messenger.Status {
	version := uint64(step.Int(h.t, "v", 1))
	m := messenger.Status{
		EchoSequence:    uint64(step.Int(h.t, "echo", int(h.state.sequence))),
		ConfirmedAge:    step.Duration(h.t, "age", 0),
		SettingsVersion: version,
	}
	if state := step.Text("state", ""); state != "" {
		m.Settings = &messenger.AgentSettings{
			Version:         version,
			State:           messenger.DomainState(state),
			QueueLimit:      step.Int(h.t, "queue", 2),
			QueueShare:      step.Float(h.t, "queue_share", 0),
			SettingsLease:   step.Duration(h.t, "settings_lease", 2500*time.Millisecond),
			StartFreshness:  3 * time.Second,
			RecordRetention: step.Duration(h.t, "horizon", 10*time.Minute),
			OwnerLease:      step.Duration(h.t, "owner_lease", 0),
			SuspectAfter:    step.Int(h.t, "suspect_after", 0),
		}
	}
	return m
}

func (h *harness) start(step scripter.Step) messenger.Start {
	return messenger.Start{
		Task:             task(step.Word(0)),
		Attempt:          step.Int(h.t, "attempt", 0),
		Owner:            messenger.Incarnation(step.Text("owner", "e1")),
		AgentIncarnation: messenger.Incarnation(step.Text("agent", "a1~1")),
		ReportSequence:   uint64(step.Int(h.t, "seq", int(h.state.sequence))),
		TimeLeft:         step.Duration(h.t, "left", 20*time.Second),
		Priority:         messenger.Priority(step.Int(h.t, "priority", int(messenger.PriorityNormal))),
		Repeatable:       step.Has("repeatable"),
		Volatile:         step.Has("volatile"),
		NoQueue:          step.Has("no_queue"),
		Size:             messenger.Resources{MilliCPU: step.Int(h.t, "milli", 0)},
		DespiteSuspicion: step.Has("despite"),
	}
}

func (h *harness) invoked(step scripter.Step) Invoked {
	result := []byte(step.Text("result", "ok"))
	if size := step.Int(h.t, "size", 0); size > 0 {
		result = make([]byte, size)
	}
	outcome := messenger.TaskOutcome{State: messenger.TaskState(step.Text("state", "succeeded"))}
	if outcome.State == messenger.TaskSucceeded {
		outcome.Result = result
	}
	return Invoked{
		Task: task(step.Word(0)), Attempt: step.Int(h.t, "attempt", 0), Run: step.Int(h.t, "run", 0), Outcome: outcome,
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

// render formats an effect as a line of a script. It returns an empty string for
// effects that are not compared: decisions, and reports unless they are wanted.
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
	case Release:
		return "release " + string(e.Entry)
	case VerifyDomain:
		return "verify"
	case Drained:
		return "drained"
	case HealthDecision:
		return renderHealth(e)
	case DirectoryChanged, Decision:
	}
	return ""
}

func renderHealth(d HealthDecision) string {
	text := "health " + string(d.Change)
	for _, submission := range d.Failed {
		text += " " + submission.ID
	}
	if d.Entry != "" {
		text += " " + string(d.Entry)
	}
	return text
}

func renderMessage(m messenger.Message) string {
	switch m := m.(type) {
	case messenger.Report:
		text := fmt.Sprintf("report slots=%d draining=%t v=%d", m.Load.Slots, m.Load.Draining, m.SettingsVersion)
		if load := m.Load.Running + m.Load.Queued; load > 0 {
			text += fmt.Sprintf(" load=%d", load)
		}
		if m.Leaving {
			text += " leaving"
		}
		if m.Load.Suspect {
			text += " suspect"
		}
		if m.Load.Probe {
			text += " probe"
		}
		return text
	case messenger.Refused:
		return fmt.Sprintf("refused %s %s never_started=%t", short(m.Task, m.Attempt), m.Reason, m.NeverStarted)
	case messenger.Finished:
		return "finished " + short(m.Task, m.Attempt) + renderOutcome(m.Outcome)
	case messenger.Cancelled:
		text := fmt.Sprintf("cancelled %s %s", short(m.Task, m.Attempt), m.State)
		if m.State == messenger.RecordTombstoned && !m.NeverStarted {
			text += " unproven"
		}
		return text
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

// fencedKeys reads the requested submissions from of=ID,ID. The default is j and k.
func fencedKeys(step scripter.Step) []messenger.SubmissionKey {
	var keys []messenger.SubmissionKey
	for id := range strings.SplitSeq(step.Text("of", "j,k"), ",") {
		keys = append(keys, task(id+"/0").Submission)
	}
	return keys
}
