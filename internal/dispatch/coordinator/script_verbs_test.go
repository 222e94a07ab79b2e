package coordinator

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/scripter"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

func (d *desk) apply(step scripter.Step) {
	switch step.Verb {
	case "ready":
		d.ready(step)
	case "keep":
		d.keep(step.Duration(d.t, "until", step.At), strings.FieldsFunc(step.Text("silent", ""), isComma))
	case "store":
		d.store = step.Word(0)
	case "tick":
		d.handle(Tick{})
	case "drain":
		d.handle(DrainRequested{})
	case "settings":
		d.settings(step)
	case "agent":
		d.link(step.Word(0), step.Text("domain", "sousse"), step.Int(d.t, "slots", 1))
	case "relink":
		d.relink(step.Word(0))
	case "renewed":
		d.answerRenewal(step)
	case "intent":
		d.handle(d.intent(step))
	case "outcome":
		d.handle(d.outcome(step))
	case "entry_fenced":
		d.handle(EntryFenced{
			Owner: messenger.Incarnation(step.Word(0)), Failed: step.Has("failed"), Alive: step.Has("alive"),
		})
	default:
		if !d.applyCall(step) && !d.applyMessage(step) {
			d.t.Fatalf("line %d: unknown verb %s", step.Line, step.Verb)
		}
	}
}

// answerRenewal answers the last renewal, or with "old" the one before it.
func (d *desk) answerRenewal(step scripter.Step) {
	renewal := d.state.renewal
	if step.Has("old") {
		renewal--
	}
	d.handle(LeaseRenewed{
		Renewal: renewal, Fenced: step.Has("fenced"), Failed: step.Has("failed"), Directory: d.directory(),
	})
}

// applyCall plays a caller. Its first word names the call.
func (d *desk) applyCall(step scripter.Step) bool {
	number, err := strconv.Atoi(strings.TrimPrefix(step.Word(0), "c"))
	if err != nil {
		return false
	}
	call := CallID(number)
	switch step.Verb {
	case "submit":
		d.handle(Submitted{Call: call, Submission: d.submission(step)})
	case "query":
		d.handle(Queried{Call: call, Key: keyNamed(step.Word(1)), Wait: step.Has("wait")})
	case "cancel":
		d.handle(CancelRequested{Call: call, Key: keyNamed(step.Word(1)), Prefix: step.Has("prefix")})
	case "tickets":
		d.handle(TicketsRequested{Call: call, Firm: "lamis", Service: "dispatch", Count: step.Int(d.t, "count", 1)})
	case "gone":
		d.handle(CallerGone{Call: call})
	default:
		return false
	}
	return true
}

// applyMessage plays an agent or another entry. Its first word is the sender.
func (d *desk) applyMessage(step scripter.Step) bool {
	from := step.Word(0)
	attempt := step.Int(d.t, "attempt", 0)
	load := messenger.EndpointLoad{Running: step.Int(d.t, "running", 0)}
	if a := d.agents[from]; a != nil {
		load.Slots = a.slots
	}
	switch step.Verb {
	case "finished":
		result := []byte(strings.Repeat("x", step.Int(d.t, "bytes", len("ok"))))
		outcome := messenger.TaskOutcome{State: messenger.TaskState(step.Text("state", "succeeded")), Result: result}
		d.receive(from, messenger.Finished{Task: taskNamed(step.Word(1)), Attempt: attempt, Outcome: outcome, Load: load})
	case "refused":
		d.receive(from, messenger.Refused{
			Task: taskNamed(step.Word(1)), Attempt: attempt, Load: load, NeverStarted: step.Text("never", "true") == "true",
			Reason: messenger.RefusalReason(step.Text("reason", "queue_full")),
		})
	case "cancelled":
		d.receive(from, messenger.Cancelled{
			Task: taskNamed(step.Word(1)), Attempt: attempt, State: messenger.RecordState(step.Text("state", "tombstoned")),
		})
	case "fenced":
		d.receive(from, d.fenced(step))
	case "witnessed":
		d.receive(from, messenger.Witnessed{Key: keyNamed(step.Word(1)), Accepted: !step.Has("rejected")})
	case "peer_status":
		d.peers[from].version = uint64(step.Int(d.t, "v", 1))
		d.peers[from].waiting = step.Int(d.t, "high", 0)
		d.peerStatus(from)
	case "forward":
		d.receive(from, messenger.Forward{
			Call: uint64(step.Int(d.t, "call", 1)), Submission: d.submission(step),
			Cancel: step.Has("cancel"), Prefix: step.Has("prefix"),
		})
	case "forwarded":
		d.receive(from, d.forwarded(step))
	default:
		return false
	}
	return true
}

func (d *desk) submission(step scripter.Step) messenger.Submission {
	id := step.Word(1)
	s := messenger.Submission{
		Key:  keyNamed(id),
		Kind: messenger.Kind(step.Text("kind", "job")), Team: step.Text("team", ""),
		Priority: messenger.Priority(step.Int(d.t, "priority", 0)),
		Digest:   step.Text("digest", id), Repeatable: step.Has("repeatable"),
		Deadline: step.Duration(d.t, "deadline", 0),
	}
	s.Volatile = step.Has("volatile")
	s.MaxAttempts = step.Int(d.t, "attempts", 0)
	if step.Has("chain") {
		s.After = [][]int{nil, {0}}
	}
	s.Key.Service = step.Text("service", "dispatch")
	for range step.Int(d.t, "tasks", 1) {
		s.Tasks = append(s.Tasks, messenger.TaskSpec{
			Payload: make([]byte, step.Int(d.t, "payload", 0)),
			Labels:  strings.FieldsFunc(step.Text("labels", ""), isComma),
			Size:    messenger.Resources{MilliCPU: step.Int(d.t, "milli", 0)},

			DeclaredRunTime: step.Duration(d.t, "runs", 0),
		})
	}
	if step.Has("chain") {
		s.Tasks[len(s.Tasks)-1].Position.Step = 1
	}
	return s
}

func (d *desk) settings(step scripter.Step) {
	d.version = uint64(step.Int(d.t, "v", 1))
	tree := scriptTree(d.t, step)
	if out := step.Text("out", ""); out != "" {
		state := messenger.DomainOut
		domain := tree.Firms["lamis"].Places["sahel"].FailureDomains[out]
		domain.Settings = resolver.Overrides{State: &state}
		tree.Firms["lamis"].Places["sahel"].FailureDomains[out] = domain
	}
	d.handle(SettingsRead{SentAt: d.time(), Version: d.version, Tree: &tree})
}

func (d *desk) intent(step scripter.Step) IntentSettled {
	id := step.Word(0)
	e := IntentSettled{Key: keyNamed(id), Failed: step.Has("failed")}
	if status := step.Text("outcome", ""); status != "" {
		e.Outcome = &messenger.Outcome{
			Key: keyNamed(id), Status: messenger.OutcomeStatus(status), Digest: step.Text("digest", id),
		}
	}
	if owner := step.Text("owner", ""); owner != "" {
		e.Row = &IntentRow{
			Key: keyNamed(id), Owner: messenger.Incarnation(owner), Digest: step.Text("digest", id),
			Tasks: step.Int(d.t, "tasks", 1), Deadline: step.Duration(d.t, "deadline", 0),
		}
	}
	return e
}

func (d *desk) outcome(step scripter.Step) OutcomeSettled {
	id, status := step.Word(0), step.Word(1)
	if status == "refused" {
		return OutcomeSettled{Key: keyNamed(id), Refused: "row too large"}
	}
	if status == "lost" {
		return OutcomeSettled{Key: keyNamed(id), Failed: true}
	}
	return OutcomeSettled{Key: keyNamed(id), Outcome: &messenger.Outcome{
		Key: keyNamed(id), Status: messenger.OutcomeStatus(status), Digest: id,
	}}
}

// fenced reads records as task:attempt:state[:outcome or by_fence], separated by
// commas.
func (d *desk) fenced(step scripter.Step) messenger.Fenced {
	m := messenger.Fenced{Owner: messenger.Incarnation(step.Text("owner", "e2")), Round: 1, Last: !step.Has("more")}
	if step.Has("second_round") {
		m.Round = 2
	}
	for _, text := range strings.FieldsFunc(step.Text("records", ""), isComma) {
		parts := append(strings.Split(text, ":"), "")
		attempt, _ := strconv.Atoi(parts[1])
		m.Records = append(m.Records, scriptRecord(taskNamed(parts[0]), attempt, parts[2], parts[3]))
	}
	for _, id := range strings.FieldsFunc(step.Text("witnessed", ""), isComma) {
		m.Witnessed = append(m.Witnessed, messenger.Outcome{Key: keyNamed(id), Status: messenger.OutcomeComplete, Digest: id})
	}
	return m
}

func (d *desk) forwarded(step scripter.Step) messenger.Forwarded {
	m := messenger.Forwarded{Call: uint64(step.Int(d.t, "call", 1)), Cancelled: step.Int(d.t, "cancelled", 0)}
	if status := step.Text("outcome", ""); status != "" {
		id := step.Word(1)
		m.Outcome = &messenger.Outcome{Key: keyNamed(id), Status: messenger.OutcomeStatus(status), Digest: id}
	}
	if code := step.Text("refusal", ""); code != "" {
		m.Refusal = &messenger.Refusal{Code: messenger.RefusalCode(code)}
	}
	return m
}

func keyNamed(id string) messenger.SubmissionKey {
	return messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: id}
}

func taskNamed(name string) messenger.TaskKey {
	id, index, _ := strings.Cut(name, "/")
	number, err := strconv.Atoi(index)
	if err != nil {
		panic(fmt.Sprintf("task %q: %v", name, err))
	}
	return messenger.TaskKey{Submission: keyNamed(id), Index: number}
}

func scriptRecord(t messenger.TaskKey, attempt int, state, outcome string) messenger.Record {
	r := messenger.Record{Task: t, Attempt: attempt, State: messenger.RecordState(state)}
	if outcome == "by_fence" {
		r.StoppedByFence = true
		return r
	}
	if outcome != "" {
		r.Outcome = messenger.TaskOutcome{State: messenger.TaskState(outcome), Result: []byte("ok")}
	}
	return r
}
