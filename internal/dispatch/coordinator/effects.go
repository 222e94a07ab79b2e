package coordinator

import "github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"

// Effect is sealed: only the types of this file implement it.
type Effect interface{ effect() }

// Answer is sealed: what a caller is told.
type Answer interface{ answer() }

// OutcomeAnswer is the final outcome of a submission.
type OutcomeAnswer struct {
	Outcome messenger.Outcome `json:"outcome"`
}

// RefusalAnswer is any answer that is not an outcome.
type RefusalAnswer struct {
	Refusal messenger.Refusal `json:"refusal"`
}

// CancelAnswer says how many submissions were found and are being cancelled.
type CancelAnswer struct {
	Cancelled int `json:"cancelled"`
}

// TicketsAnswer holds submission ids that this entry alone may start.
type TicketsAnswer struct {
	IDs []string `json:"ids"`
}

func (OutcomeAnswer) answer() {}
func (RefusalAnswer) answer() {}
func (CancelAnswer) answer()  {}
func (TicketsAnswer) answer() {}

// Reply answers a call. Each call is answered exactly once.
type Reply struct {
	Call   CallID `json:"call"`
	Answer Answer `json:"answer"`
}

// Send sends a message over the link to a process. It is dropped if there is none.
type Send struct {
	To      messenger.Incarnation
	Message messenger.Message
}

// CommitIntent creates an intent row if there is none. IntentSettled follows.
// The edge stops trying at the journal's patience, and then reports Failed.
type CommitIntent struct {
	Row IntentRow `json:"row"`
}

// ReadIntent reads the intent and outcome rows. IntentSettled follows.
type ReadIntent struct {
	Key messenger.SubmissionKey `json:"key"`
}

// CommitOutcome creates an outcome row if there is none. OutcomeSettled follows,
// with Failed if the first try got no answer; the edge tries until it succeeds or
// the table refuses the row.
type CommitOutcome struct {
	Outcome messenger.Outcome `json:"outcome"`
}

// RenewLease renews this entry's row and reads the directory. LeaseRenewed follows.
type RenewLease struct {
	Renewal uint64 `json:"renewal"`
}

// FenceEntry marks an entry row fenced if it still is as read. EntryFenced follows.
type FenceEntry struct {
	Row EntryRow `json:"row"`
}

// ReleaseLease marks this entry's own row fenced and released, so that nobody
// waits for it. Nothing follows.
type ReleaseLease struct{}

// Decision is logged for each routing or placement decision.
type Decision struct {
	Kind       DecisionKind            `json:"kind"`
	Submission messenger.SubmissionKey `json:"submission"`
	Task       int                     `json:"task"`
	Attempt    int                     `json:"attempt"`
	Endpoint   string                  `json:"endpoint,omitempty"`
	Reason     string                  `json:"reason"`
	// Considered is how many endpoints were compared.
	Considered int `json:"considered"`
	// RunnerUp is the next best endpoint.
	RunnerUp string `json:"runner_up,omitempty"`
}

// DecisionKind classifies decisions.
type DecisionKind string

// The kinds of decision.
const (
	DecisionAdmit    DecisionKind = "admit"
	DecisionRefuse   DecisionKind = "refuse"
	DecisionPlace    DecisionKind = "place"
	DecisionReplace  DecisionKind = "place_again"
	DecisionGiveUp   DecisionKind = "give_up"
	DecisionForward  DecisionKind = "forward"
	DecisionTakeover DecisionKind = "takeover"
	DecisionEject    DecisionKind = "eject"
	DecisionProbe    DecisionKind = "probe"
	DecisionOverdue  DecisionKind = "overdue"
	// DecisionStrained and DecisionRelieved: the entry has too little processor time
	// for its calls, or has enough again.
	DecisionStrained DecisionKind = "strained"
	DecisionRelieved DecisionKind = "relieved"
)

// Drained says that the graceful stop is complete.
type Drained struct{}

// Exit says that this incarnation was replaced and must end.
type Exit struct {
	Reason string `json:"reason"`
}

func (Reply) effect()         {}
func (Send) effect()          {}
func (CommitIntent) effect()  {}
func (ReadIntent) effect()    {}
func (CommitOutcome) effect() {}
func (RenewLease) effect()    {}
func (FenceEntry) effect()    {}
func (ReleaseLease) effect()  {}
func (Decision) effect()      {}
func (Drained) effect()       {}
func (Exit) effect()          {}
