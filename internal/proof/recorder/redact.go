package recorder

import (
	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// redact returns the event without key hashes and with zero bytes in place of the
// contents of payloads and results. The event passed in is not modified: values that
// change are copied.
func redact(event coordinator.Event) coordinator.Event {
	switch e := event.(type) {
	case coordinator.Submitted:
		e.Submission = redactSubmission(e.Submission)
		return e
	case coordinator.SettingsRead:
		e.Tree = redactTree(e.Tree)
		return e
	case coordinator.IntentSettled:
		e.Outcome = redactOutcome(e.Outcome)
		return e
	case coordinator.OutcomeSettled:
		e.Outcome = redactOutcome(e.Outcome)
		return e
	case coordinator.Received:
		e.Message = redactMessage(e.Message)
		return e
	default:
		return event
	}
}

func redactMessage(m messenger.Message) messenger.Message {
	switch m := m.(type) {
	case messenger.Finished:
		m.Outcome.Result = zeroBytes(m.Outcome.Result)
		return m
	case messenger.Forward:
		m.Submission = redactSubmission(m.Submission)
		return m
	case messenger.Forwarded:
		m.Outcome = redactOutcome(m.Outcome)
		return m
	case messenger.Fenced:
		m.Records = append([]messenger.Record(nil), m.Records...)
		for i := range m.Records {
			m.Records[i].Outcome.Result = zeroBytes(m.Records[i].Outcome.Result)
		}
		m.Witnessed = append([]messenger.Outcome(nil), m.Witnessed...)
		for i := range m.Witnessed {
			m.Witnessed[i] = *redactOutcome(&m.Witnessed[i])
		}
		return m
	default:
		return m
	}
}

func redactSubmission(s messenger.Submission) messenger.Submission {
	s.Tasks = append([]messenger.TaskSpec(nil), s.Tasks...)
	for i := range s.Tasks {
		s.Tasks[i].Payload = zeroBytes(s.Tasks[i].Payload)
	}
	return s
}

func redactOutcome(outcome *messenger.Outcome) *messenger.Outcome {
	if outcome == nil {
		return nil
	}
	redacted := *outcome
	redacted.Tasks = append([]messenger.TaskOutcome(nil), outcome.Tasks...)
	for i := range redacted.Tasks {
		redacted.Tasks[i].Result = zeroBytes(redacted.Tasks[i].Result)
	}
	return &redacted
}

func redactTree(tree *resolver.Tree) *resolver.Tree {
	if tree == nil {
		return nil
	}
	redacted := resolver.Tree{Firms: make(map[string]resolver.Firm, len(tree.Firms))}
	for name, firm := range tree.Firms {
		firm.Keys = nil
		redacted.Firms[name] = firm
	}
	return &redacted
}

func zeroBytes(data []byte) []byte {
	if data == nil {
		return nil
	}
	return make([]byte, len(data))
}
