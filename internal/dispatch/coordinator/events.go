package coordinator

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Event is an input of State.Handle. The interface is sealed: only the types in this
// file implement it.
type Event interface{ event() }

// CallID identifies a caller's request that awaits a Reply.
type CallID uint64

// Tick triggers time-driven decisions. The edge sends one every TickInterval.
type Tick struct{}

// Submitted is a submission by a caller.
type Submitted struct {
	Call       CallID               `json:"call"`
	Submission messenger.Submission `json:"submission"`
	// ReceivedAt is when the call was read from the connection; zero if unknown.
	ReceivedAt time.Time `json:"received_at,omitzero"`
}

// Queried is a caller's request for the outcome of a submission. With Wait, the reply
// is sent when the submission is settled; without Wait, a submission in progress is
// answered with CodeInProgress.
type Queried struct {
	Call CallID                  `json:"call"`
	Key  messenger.SubmissionKey `json:"key"`
	Wait bool                    `json:"wait,omitempty"`
}

// CancelRequested cancels one submission, or with Prefix all submissions whose id
// starts with Key.ID. The reply is a CancelAnswer.
type CancelRequested struct {
	Call   CallID                  `json:"call"`
	Key    messenger.SubmissionKey `json:"key"`
	Prefix bool                    `json:"prefix,omitempty"`
	// Volatile is true if the submission can only be a volatile one, which the store does
	// not know.
	Volatile bool `json:"volatile,omitempty"`
}

// TicketsRequested requests a block of submission ids. The reply is a TicketsAnswer.
type TicketsRequested struct {
	Call    CallID `json:"call"`
	Firm    string `json:"firm"`
	Service string `json:"service"`
	Count   int    `json:"count"`
}

// CallerGone reports that the caller of a call has disconnected. The submission itself
// is not cancelled.
type CallerGone struct {
	Call CallID `json:"call"`
}

// IntentRow is the store row that makes an incarnation the owner of a submission.
type IntentRow struct {
	Key      messenger.SubmissionKey `json:"key"`
	Owner    messenger.Incarnation   `json:"owner"`
	Digest   string                  `json:"digest"`
	Tasks    int                     `json:"tasks"`
	Deadline time.Duration           `json:"deadline"`
}

// IntentSettled reports the result of a CommitIntent or a ReadIntent.
type IntentSettled struct {
	Key messenger.SubmissionKey `json:"key"`
	// Failed is true if the store did not answer. The write may have taken effect.
	Failed bool `json:"failed,omitempty"`
	// Refused is the reason why the store rejects the row, or why the stored row
	// cannot be read; Failed is then true as well.
	Refused string `json:"refused,omitempty"`
	// Row is the stored intent row, whoever owns it; nil if there is none.
	Row *IntentRow `json:"row,omitempty"`
	// Outcome is the stored outcome row, if the submission is settled.
	Outcome *messenger.Outcome `json:"outcome,omitempty"`
}

// OutcomeSettled reports the result of a CommitOutcome.
type OutcomeSettled struct {
	Key messenger.SubmissionKey `json:"key"`
	// Failed is true if the store did not answer; the edge keeps retrying.
	Failed bool `json:"failed,omitempty"`
	// Refused is the reason why the store will never accept the row, or why the stored
	// row cannot be read. The edge has stopped retrying and has written nothing.
	Refused string `json:"refused,omitempty"`
	// Outcome is the stored outcome row, which another entry may have written.
	Outcome *messenger.Outcome `json:"outcome,omitempty"`
}

// AgentLinked reports a new link to an agent, either the first or a reconnection.
type AgentLinked struct {
	Hello messenger.Hello `json:"hello"`
}

// PeerLinked reports a new link to another entry.
type PeerLinked struct {
	Name        string                `json:"name"`
	Incarnation messenger.Incarnation `json:"incarnation"`
}

// Received is a message from a linked process.
type Received struct {
	From    messenger.Incarnation
	Message messenger.Message
}

// EntryRow is an entry's row in the store.
type EntryRow struct {
	Name        string                `json:"name"`
	Incarnation messenger.Incarnation `json:"incarnation"`
	Address     string                `json:"address"`
	// Renewal increases with each renewal of the lease.
	Renewal uint64 `json:"renewal"`
	Fenced  bool   `json:"fenced,omitempty"`
	// Released is true if the entry ended its own lease in a graceful stop.
	Released bool `json:"released,omitempty"`
}

// LeaseRenewed reports the result of a RenewLease.
type LeaseRenewed struct {
	// Renewal is the number of the RenewLease that this event answers.
	Renewal uint64 `json:"renewal"`
	// Failed is true if the store did not answer.
	Failed bool `json:"failed,omitempty"`
	// Fenced is true if this entry's row was fenced or belongs to another incarnation.
	Fenced    bool       `json:"fenced,omitempty"`
	Directory []EntryRow `json:"directory,omitempty"`
}

// EntryFenced reports the result of a FenceEntry.
type EntryFenced struct {
	Owner messenger.Incarnation `json:"owner"`
	// Failed is true if the store did not answer.
	Failed bool `json:"failed,omitempty"`
	// Alive is true if the row was renewed in the meantime, so that it was not fenced.
	Alive bool `json:"alive,omitempty"`
}

// SettingsRead reports a read of settings/head. Tree is nil if the version is unchanged.
type SettingsRead struct {
	// SentAt is when the read was sent; the settings are confirmed as of SentAt.
	SentAt  time.Time      `json:"sent_at"`
	Version uint64         `json:"version"`
	Tree    *resolver.Tree `json:"tree,omitempty"`
}

// DrainRequested starts a graceful stop. The effect Drained reports its completion.
type DrainRequested struct{}

func (Tick) event()             {}
func (Submitted) event()        {}
func (Queried) event()          {}
func (CancelRequested) event()  {}
func (TicketsRequested) event() {}
func (CallerGone) event()       {}
func (IntentSettled) event()    {}
func (OutcomeSettled) event()   {}
func (AgentLinked) event()      {}
func (PeerLinked) event()       {}
func (Received) event()         {}
func (LeaseRenewed) event()     {}
func (EntryFenced) event()      {}
func (SettingsRead) event()     {}
func (DrainRequested) event()   {}
