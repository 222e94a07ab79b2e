package coordinator

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/scripter"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

func (r *scriptRunner) apply(step scripter.Step) {
	switch step.Verb {
	case "ready":
		r.ready(step)
	case "keep":
		r.runUntil(step.Duration(r.t, "until", step.At), strings.FieldsFunc(step.Text("silent", ""), isComma))
	case "store":
		r.store = step.Word(0)
	case "tick":
		r.handle(Tick{})
	case "drain":
		r.handle(DrainRequested{})
	case "settings":
		r.settings(step)
	case "agent":
		r.link(step.Word(0), step.Text("domain", "sousse"), step.Int(r.t, "slots", 1))
	case "leave":
		r.agents[step.Word(0)].leaving = true
		r.report(step.Word(0))
	case "judge":
		a := r.agents[step.Word(0)]
		a.suspect, a.probe = step.Has("suspect"), step.Has("probe")
		r.report(step.Word(0))
	case "relink":
		r.relink(step.Word(0))
	case "renewed":
		r.answerRenewal(step)
	case "intent":
		r.handle(r.intent(step))
	case "outcome":
		r.handle(r.outcome(step))
	case "entry_fenced":
		r.handle(EntryFenced{
			Owner: messenger.Incarnation(step.Word(0)), Failed: step.Has("failed"), Alive: step.Has("alive"),
		})
	default:
		if !r.applyCall(step) && !r.applyMessage(step) {
			r.t.Fatalf("line %d: unknown verb %s", step.Line, step.Verb)
		}
	}
}

// answerRenewal delivers the result of the last renewal, or with "old" that of the
// renewal before it.
func (r *scriptRunner) answerRenewal(step scripter.Step) {
	renewal := r.state.renewal
	if step.Has("old") {
		renewal--
	}
	r.handle(LeaseRenewed{
		Renewal: renewal, Fenced: step.Has("fenced"), Failed: step.Has("failed"), Directory: r.directory(),
	})
}

// applyCall applies a step of a caller. The step's first word names the call.
func (r *scriptRunner) applyCall(step scripter.Step) bool {
	number, err := strconv.Atoi(strings.TrimPrefix(step.Word(0), "c"))
	if err != nil {
		return false
	}
	call := CallID(number)
	switch step.Verb {
	case "submit":
		r.handle(Submitted{Call: call, Submission: r.submission(step)})
	case "query":
		r.handle(Queried{Call: call, Key: keyNamed(step.Word(1)), Wait: step.Has("wait")})
	case "cancel":
		r.handle(CancelRequested{
			Call: call, Key: keyNamed(step.Word(1)), Prefix: step.Has("prefix"), Volatile: step.Has("volatile"),
		})
	case "tickets":
		r.handle(TicketsRequested{Call: call, Firm: "lamis", Service: "dispatch", Count: step.Int(r.t, "count", 1)})
	case "gone":
		r.handle(CallerGone{Call: call})
	default:
		return false
	}
	return true
}

// applyMessage delivers a message of an agent or another entry. The step's first word
// names the sender.
func (r *scriptRunner) applyMessage(step scripter.Step) bool {
	from := step.Word(0)
	attempt := step.Int(r.t, "attempt", 0)
	load := messenger.EndpointLoad{Running: step.Int(r.t, "running", 0)}
	if a := r.agents[from]; a != nil {
		load.Slots, load.Suspect, load.Probe = a.slots, a.suspect, a.probe
	}
	switch step.Verb {
	case "finished":
		result := []byte(strings.Repeat("x", step.Int(r.t, "bytes", len("ok"))))
		outcome := messenger.TaskOutcome{State: messenger.TaskState(step.Text("state", "succeeded")), Result: result}
		r.receive(from, messenger.Finished{Task: taskNamed(step.Word(1)), Attempt: attempt, Outcome: outcome, Load: load})
	case "refused":
		r.receive(from, messenger.Refused{
			Task: taskNamed(step.Word(1)), Attempt: attempt, Load: load, NeverStarted: step.Text("never", "true") == "true",
			Reason: messenger.RefusalReason(step.Text("reason", "queue_full")),
		})
	case "cancelled":
		r.receive(from, messenger.Cancelled{
			Task: taskNamed(step.Word(1)), Attempt: attempt, State: messenger.RecordState(step.Text("state", "tombstoned")),
			NeverStarted: step.Text("never", "true") == "true",
		})
	case "fenced":
		r.receive(from, r.fenced(step))
	case "witnessed":
		r.receive(from, messenger.Witnessed{Key: keyNamed(step.Word(1)), Accepted: !step.Has("rejected")})
	case "peer_status":
		r.peers[from].version = uint64(step.Int(r.t, "v", 1))
		r.peers[from].waiting = step.Int(r.t, "high", 0)
		r.peerStatus(from)
	case "forward":
		r.receive(from, messenger.Forward{
			Call: uint64(step.Int(r.t, "call", 1)), Submission: r.submission(step),
			Cancel: step.Has("cancel"), Prefix: step.Has("prefix"),
		})
	case "forwarded":
		r.receive(from, r.forwarded(step))
	default:
		return false
	}
	return true
}

func (r *scriptRunner) submission(step scripter.Step) messenger.Submission {
	id := step.Word(1)
	s := messenger.Submission{
		Key:  keyNamed(id),
		Kind: messenger.Kind(step.Text("kind", "job")), Team: step.Text("team", ""),
		Priority: messenger.Priority(step.Int(r.t, "priority", 0)),
		Digest:   step.Text("digest", id), Repeatable: step.Has("repeatable"),
		Deadline: step.Duration(r.t, "deadline", 0),
	}
	s.Volatile = step.Has("volatile")
	s.MaxAttempts = step.Int(r.t, "attempts", 0)
	if step.Has("chain") {
		s.After = [][]int{nil, {0}}
	}
	s.Key.Service = step.Text("service", "dispatch")
	for range step.Int(r.t, "tasks", 1) {
		s.Tasks = append(s.Tasks, messenger.TaskSpec{
			Payload: make([]byte, step.Int(r.t, "payload", 0)),
			Labels:  strings.FieldsFunc(step.Text("labels", ""), isComma),
			Size:    messenger.Resources{MilliCPU: step.Int(r.t, "milli", 0)},

			DeclaredRunTime: step.Duration(r.t, "runs", 0),
		})
	}
	if step.Has("chain") {
		s.Tasks[len(s.Tasks)-1].Position.Step = 1
	}
	return s
}

func (r *scriptRunner) settings(step scripter.Step) {
	r.version = uint64(step.Int(r.t, "v", 1))
	tree := scriptTree(r.t, step)
	if out := step.Text("out", ""); out != "" {
		state := messenger.DomainOut
		domain := tree.Firms["lamis"].Places["sahel"].FailureDomains[out]
		domain.Settings = resolver.Overrides{State: &state}
		tree.Firms["lamis"].Places["sahel"].FailureDomains[out] = domain
	}
	r.handle(SettingsRead{SentAt: r.time(), Version: r.version, Tree: &tree})
}

func (r *scriptRunner) intent(step scripter.Step) IntentSettled {
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
			Tasks: step.Int(r.t, "tasks", 1), Deadline: step.Duration(r.t, "deadline", 0),
		}
	}
	return e
}

func (r *scriptRunner) outcome(step scripter.Step) OutcomeSettled {
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

// fenced builds an agent's answer to a fence. Its records are given as
// task:attempt:state[:outcome or by_fence], separated by commas.
func (r *scriptRunner) fenced(step scripter.Step) messenger.Fenced {
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

func (r *scriptRunner) forwarded(step scripter.Step) messenger.Forwarded {
	m := messenger.Forwarded{Call: uint64(step.Int(r.t, "call", 1)), Cancelled: step.Int(r.t, "cancelled", 0)}
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
