package coordinator

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Event is sealed: only the types of this file implement it.
type Event interface{ event() }

// CallID names one caller's request that waits for a Reply.
type CallID uint64

// Tick lets time-driven decisions happen. The edge sends one every TickInterval.
type Tick struct{}

// Submitted is a submission by a caller.
type Submitted struct {
	Call       CallID               `json:"call"`
	Submission messenger.Submission `json:"submission"`
	// ReceivedAt is when the call was read; zero if that is not known.
	ReceivedAt time.Time `json:"received_at,omitzero"`
}

// Queried asks for the outcome of a submission. With Wait the reply comes when
// the submission is settled; without, a submission in progress is answered with
// CodeInProgress.
type Queried struct {
	Call CallID                  `json:"call"`
	Key  messenger.SubmissionKey `json:"key"`
	Wait bool                    `json:"wait,omitempty"`
}

// CancelRequested cancels one submission, or with Prefix all whose id starts
// with Key.ID. The reply is CancelAnswer.
type CancelRequested struct {
	Call   CallID                  `json:"call"`
	Key    messenger.SubmissionKey `json:"key"`
	Prefix bool                    `json:"prefix,omitempty"`
}

// TicketsRequested asks for a block of submission ids. The reply is TicketsAnswer.
type TicketsRequested struct {
	Call    CallID `json:"call"`
	Firm    string `json:"firm"`
	Service string `json:"service"`
	Count   int    `json:"count"`
}

// CallerGone says that nobody waits for the reply any more. The submission goes on.
type CallerGone struct {
	Call CallID `json:"call"`
}

// IntentRow is the row that makes an incarnation the owner of a submission.
type IntentRow struct {
	Key      messenger.SubmissionKey `json:"key"`
	Owner    messenger.Incarnation   `json:"owner"`
	Digest   string                  `json:"digest"`
	Tasks    int                     `json:"tasks"`
	Deadline time.Duration           `json:"deadline"`
}

// IntentSettled reports on a CommitIntent or a ReadIntent.
type IntentSettled struct {
	Key messenger.SubmissionKey `json:"key"`
	// Failed is true if the table gave no answer. The write may have taken effect.
	Failed bool `json:"failed,omitempty"`
	// Refused says why the table takes no such row or the row in force cannot be
	// read; Failed is then true as well.
	Refused string `json:"refused,omitempty"`
	// Row is the row in force, ours or another's; nil if there is none.
	Row *IntentRow `json:"row,omitempty"`
	// Outcome is the outcome row, if the submission is settled.
	Outcome *messenger.Outcome `json:"outcome,omitempty"`
}

// OutcomeSettled reports on a CommitOutcome.
type OutcomeSettled struct {
	Key messenger.SubmissionKey `json:"key"`
	// Failed is true if the table gave no answer; the edge goes on trying.
	Failed bool `json:"failed,omitempty"`
	// Refused says why the table will never take the row, or why the row in force
	// cannot be read; the edge has stopped trying, and has written nothing.
	Refused string `json:"refused,omitempty"`
	// Outcome is the row in force, which may be another entry's.
	Outcome *messenger.Outcome `json:"outcome,omitempty"`
}

// AgentLinked reports a new link to an agent, the first or a replacement.
type AgentLinked struct {
	Hello messenger.Hello `json:"hello"`
}

// PeerLinked reports a link to another entry.
type PeerLinked struct {
	Name        string                `json:"name"`
	Incarnation messenger.Incarnation `json:"incarnation"`
}

// Received is a message from a linked process.
type Received struct {
	From    messenger.Incarnation
	Message messenger.Message
}

// EntryRow is an entry's row in the platform's table.
type EntryRow struct {
	Name        string                `json:"name"`
	Incarnation messenger.Incarnation `json:"incarnation"`
	Address     string                `json:"address"`
	// Renewal grows with each renewal of the lease.
	Renewal uint64 `json:"renewal"`
	Fenced  bool   `json:"fenced,omitempty"`
	// Released is true if the entry itself ended its lease in a graceful stop.
	Released bool `json:"released,omitempty"`
}

// LeaseRenewed reports on a RenewLease.
type LeaseRenewed struct {
	// Renewal is the number of the RenewLease that this answers.
	Renewal uint64 `json:"renewal"`
	// Failed is true if the table gave no answer.
	Failed bool `json:"failed,omitempty"`
	// Fenced is true if our own row was fenced or belongs to another incarnation.
	Fenced    bool       `json:"fenced,omitempty"`
	Directory []EntryRow `json:"directory,omitempty"`
}

// EntryFenced reports on a FenceEntry.
type EntryFenced struct {
	Owner messenger.Incarnation `json:"owner"`
	// Failed is true if the table gave no answer.
	Failed bool `json:"failed,omitempty"`
	// Alive is true if the row had been renewed meanwhile; nothing was fenced.
	Alive bool `json:"alive,omitempty"`
}

// SettingsRead reports a read of settings/head. Tree is nil if the version did not change.
type SettingsRead struct {
	// SentAt is when the read was sent; the settings are confirmed as of then.
	SentAt  time.Time      `json:"sent_at"`
	Version uint64         `json:"version"`
	Tree    *resolver.Tree `json:"tree,omitempty"`
}

// DrainRequested starts a graceful stop. Drained follows when it is complete.
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
