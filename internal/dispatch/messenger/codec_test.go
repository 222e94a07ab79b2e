package messenger

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a message type that is missing from the table of kinds, and against
// fields that are lost in encoding.
func TestEncodeDecodeKeepsEveryMessage(t *testing.T) {
	key := TaskKey{Submission: SubmissionKey{Firm: "lamis", Service: "dispatch", ID: "a"}, Index: 3}
	messages := []Message{
		Hello{Role: RoleAgent, Name: "a1", Incarnation: "a1~1", FailureDomain: "sousse"},
		Welcome{Name: "e1", Incarnation: "e1~1"},
		Report{Sequence: 7, Load: EndpointLoad{Service: "dispatch", Slots: 8, Labels: []string{"gpu"}}},
		Status{EchoSequence: 7, ConfirmedAge: time.Second, Settings: &AgentSettings{Version: 4}},
		Start{Task: key, Attempt: 1, Owner: "e1~1", Payload: []byte("x"), TimeLeft: time.Second},
		Refused{Task: key, Reason: RefusedQueueFull, NeverStarted: true},
		Finished{Task: key, Outcome: TaskOutcome{State: TaskSucceeded, Result: []byte("y")}},
		Cancel{Task: key, Attempt: 2},
		Cancelled{Task: key, State: RecordTombstoned},
		Fence{Owner: "e1~1"},
		Fenced{Owner: "e1~1", Records: []Record{{Task: key, State: RecordRunning}}, Last: true},
		Witness{Owner: "e1~1", Outcome: Outcome{Key: key.Submission, Status: OutcomeComplete}},
		Witnessed{Key: key.Submission, Accepted: true},
		PeerStatus{Sequence: 1, EchoSequence: 2, SettingsVersion: 3},
		Forward{Call: 1, Submission: Submission{Key: key.Submission, Tasks: []TaskSpec{{Payload: []byte("p")}}}},
		Forwarded{Call: 1, Refusal: &Refusal{Code: CodeNotRun, Reason: "draining"}},
		Ping{},
	}
	if len(messages) != len(kinds) {
		t.Fatalf("test covers %d message types, the table of kinds has %d", len(messages), len(kinds))
	}
	for _, want := range messages {
		t.Run(KindName(want), func(t *testing.T) {
			data, err := Encode(want)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a panic on bytes that don't encode a message.
func TestDecodeRejectsBadInput(t *testing.T) {
	for name, data := range map[string][]byte{
		"empty":        {},
		"unknown kind": {255},
		"truncated":    {4, 0xa3},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Decode(data); err == nil {
				t.Error("Decode returned no error")
			}
		})
	}
}
