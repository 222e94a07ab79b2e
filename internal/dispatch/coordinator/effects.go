package coordinator

import "github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"

// Effect is an output of State.Handle. The interface is sealed: only the types in this
// file implement it.
type Effect interface{ effect() }

// Answer is the content of a Reply to a caller. The interface is sealed.
type Answer interface{ answer() }

// OutcomeAnswer is the final outcome of a submission.
type OutcomeAnswer struct {
	Outcome messenger.Outcome `json:"outcome"`
}

// RefusalAnswer is any answer that is not an outcome.
type RefusalAnswer struct {
	Refusal messenger.Refusal `json:"refusal"`
}

// CancelAnswer holds the number of submissions that are being cancelled.
type CancelAnswer struct {
	Cancelled int `json:"cancelled"`
}

// TicketsAnswer holds submission ids that only this entry may start.
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

// Send sends a message over the link to a process. The message is dropped if there is
// no link.
type Send struct {
	To      messenger.Incarnation
	Message messenger.Message
}

// CommitIntent creates an intent row if there is none. The result is an IntentSettled.
// The edge retries until the journal's timeout and then reports Failed.
type CommitIntent struct {
	Row IntentRow `json:"row"`
}

// ReadIntent reads the intent and outcome rows. The result is an IntentSettled.
type ReadIntent struct {
	Key messenger.SubmissionKey `json:"key"`
}

// CommitOutcome creates an outcome row if there is none. The result is an
// OutcomeSettled, preceded by one with Failed if the first attempt got no answer. The
// edge retries until the write succeeds or the store rejects the row.
type CommitOutcome struct {
	Outcome messenger.Outcome `json:"outcome"`
}

// RenewLease renews this entry's row and reads the directory. The result is a
// LeaseRenewed.
type RenewLease struct {
	Renewal uint64 `json:"renewal"`
}

// FenceEntry marks an entry row as fenced if it is unchanged since it was read. The
// result is an EntryFenced.
type FenceEntry struct {
	Row EntryRow `json:"row"`
}

// ReleaseLease marks this entry's own row as fenced and released, so that other entries
// do not wait for the lease to expire. It has no result event.
type ReleaseLease struct{}

// Decision is a log record of one routing or placement decision.
type Decision struct {
	Kind       DecisionKind            `json:"kind"`
	Submission messenger.SubmissionKey `json:"submission"`
	Task       int                     `json:"task"`
	Attempt    int                     `json:"attempt"`
	Endpoint   string                  `json:"endpoint,omitempty"`
	Reason     string                  `json:"reason"`
	// Considered is how many endpoints were compared.
	Considered int `json:"considered"`
	// RunnerUp is the second-best endpoint.
	RunnerUp string `json:"runner_up,omitempty"`
}

// DecisionKind classifies decisions.
type DecisionKind string

// The kinds of decision.
const (
	DecisionAdmit DecisionKind = "admit"
	// DecisionAdmitLate reports a job that is admitted although it is expected to miss
	// its objective.
	DecisionAdmitLate  DecisionKind = "admit_late"
	DecisionRefuse     DecisionKind = "refuse"
	DecisionPlace      DecisionKind = "place"
	DecisionPlaceAgain DecisionKind = "place_again"
	DecisionGiveUp     DecisionKind = "give_up"
	// DecisionInDoubt reports that an attempt has ended that may have run, and that its task
	// continues.
	DecisionInDoubt  DecisionKind = "in_doubt"
	DecisionForward  DecisionKind = "forward"
	DecisionTakeover DecisionKind = "takeover"
	DecisionEject    DecisionKind = "eject"
	DecisionProbe    DecisionKind = "probe"
	DecisionOverdue  DecisionKind = "overdue"
	// DecisionStrained reports that the entry has too little processor time for its
	// calls, DecisionRelieved that it has enough again.
	DecisionStrained DecisionKind = "strained"
	DecisionRelieved DecisionKind = "relieved"
	// DecisionDrop reports that an agent or an entry was dropped for its silence,
	// DecisionTakeBack that it was added again over the same link.
	DecisionDrop     DecisionKind = "drop"
	DecisionTakeBack DecisionKind = "take_back"
	// DecisionSuspect reports that an agent has found too many failures at its endpoint,
	// DecisionTrusted that it trusts the endpoint again.
	DecisionSuspect DecisionKind = "suspect"
	DecisionTrusted DecisionKind = "trusted"
)

// Drained reports that the graceful stop is complete.
type Drained struct{}

// Exit orders this process to end because its incarnation was replaced.
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
