package coordinator

import (
	"fmt"
	"strings"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// render formats an effect as a line of a script. Decisions are not compared, and
// periodic messages and renewals are compared only where the script expects any.
func render(effect Effect, wanted string) string {
	switch e := effect.(type) {
	case Reply:
		return fmt.Sprintf("c%d %s", e.Call, renderAnswer(e.Answer))
	case Send:
		return renderSend(e, wanted)
	case CommitIntent:
		return "commit_intent " + e.Row.Key.ID
	case ReadIntent:
		return "read_intent " + e.Key.ID
	case CommitOutcome:
		return "commit_outcome " + renderOutcome(e.Outcome)
	case RenewLease:
		if strings.Contains(wanted, "renew") {
			return "renew"
		}
	case FenceEntry:
		return "fence_entry " + string(e.Row.Incarnation)
	case Drained:
		return "drained"
	case Exit:
		return "exit"
	case Decision:
	}
	return ""
}

func renderAnswer(answer Answer) string {
	switch a := answer.(type) {
	case OutcomeAnswer:
		return "outcome " + renderOutcome(a.Outcome)
	case RefusalAnswer:
		return "refused " + string(a.Refusal.Code)
	case CancelAnswer:
		return fmt.Sprintf("cancelled %d", a.Cancelled)
	case TicketsAnswer:
		return "tickets " + strings.Join(a.IDs, " ")
	}
	return ""
}

func renderOutcome(outcome messenger.Outcome) string {
	text := outcome.Key.ID + " " + string(outcome.Status)
	for _, t := range outcome.Tasks {
		text += " " + string(t.State)
		if t.Result != nil {
			text += "+result"
		}
	}
	return text
}

func renderSend(e Send, wanted string) string {
	text := renderMessage(e.Message, wanted)
	switch kind, _, _ := strings.Cut(text, " "); kind {
	case "status", "peer_status":
		if !strings.Contains(wanted, " "+kind+" ") {
			return ""
		}
	}
	if text == "" {
		return ""
	}
	return string(e.To) + " " + text
}

// renderReport renders the report that a message echoes if the step expects any.
func renderReport(sequence uint64, wanted string) string {
	if !strings.Contains(wanted, " report=") {
		return ""
	}
	return fmt.Sprintf(" report=%d", sequence)
}

func renderMessage(message messenger.Message, wanted string) string {
	switch m := message.(type) {
	case messenger.Start:
		text := fmt.Sprintf("start %s/%d attempt=%d", m.Task.Submission.ID, m.Task.Index, m.Attempt)
		if m.DespiteSuspicion {
			text += " despite_suspicion"
		}
		return text + renderReport(m.ReportSequence, wanted)
	case messenger.Cancel:
		text := fmt.Sprintf("cancel %s/%d attempt=%d", m.Task.Submission.ID, m.Task.Index, m.Attempt)
		return text + renderReport(m.ReportSequence, wanted)
	case messenger.Fence:
		text := "fence " + string(m.Owner)
		for i, key := range m.Submissions {
			text += []string{" of=", ","}[min(i, 1)] + key.ID
		}
		return text
	case messenger.Witness:
		return "witness " + renderOutcome(m.Outcome)
	case messenger.Status:
		state := "same"
		if m.Settings != nil {
			state = string(m.Settings.State)
		}
		return fmt.Sprintf("status v=%d age=%s settings=%s", m.SettingsVersion, m.ConfirmedAge, state)
	case messenger.PeerStatus:
		text := "peer_status"
		for _, w := range m.Waiting {
			text += fmt.Sprintf(" %s:%d:%d", w.Service, w.Priority, w.Tasks)
		}
		return text
	case messenger.Forward:
		text := fmt.Sprintf("forward %s call=%d tasks=%d", m.Submission.Key.ID, m.Call, len(m.Submission.Tasks))
		if m.Cancel {
			text += fmt.Sprintf(" cancel prefix=%t", m.Prefix)
		}
		return text
	case messenger.Forwarded:
		return renderForwarded(m)
	default:
		return ""
	}
}

func renderForwarded(m messenger.Forwarded) string {
	text := fmt.Sprintf("forwarded call=%d", m.Call)
	switch {
	case m.Outcome != nil:
		return text + " outcome " + renderOutcome(*m.Outcome)
	case m.Refusal != nil:
		return text + " refused " + string(m.Refusal.Code)
	}
	return fmt.Sprintf("%s cancelled=%d", text, m.Cancelled)
}
