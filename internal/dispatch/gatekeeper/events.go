package gatekeeper

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Event is an input of State.Handle. Only the types in this file implement it.
type Event interface{ event() }

// Tick triggers time-driven work such as periodic reports and the expiry of records.
type Tick struct{}

// EntryLinked reports a new link to an entry, which may replace an earlier link.
type EntryLinked struct {
	Entry messenger.Incarnation `json:"entry"`
}

// EntryUnlinked reports that the link to an entry has ended.
type EntryUnlinked struct {
	Entry messenger.Incarnation `json:"entry"`
}

// Received is a message from an entry.
type Received struct {
	From    messenger.Incarnation
	Message messenger.Message
}

// LeaveEntries lists the linked entries that the agent leaves, and replaces the previous
// list. A Release follows for each of them once none of its tasks remains.
type LeaveEntries struct {
	Entries []messenger.Incarnation `json:"entries"`
}

// EndpointAnnounced reports what the endpoint offers. Endpoints repeat it regularly.
type EndpointAnnounced struct {
	Service string   `json:"service"`
	Slots   int      `json:"slots"`
	Labels  []string `json:"labels,omitempty"`
	// Capacity, if not zero, replaces Slots as the limit on running tasks.
	Capacity messenger.Resources `json:"capacity,omitzero"`
	// Boot identifies the boot of the endpoint; 0 if the endpoint does not tell it.
	Boot int64 `json:"boot,omitempty"`
}

// EndpointDeparting reports that the endpoint is leaving and accepts no new tasks.
type EndpointDeparting struct{}

// DomainVerified reports whether the store says that the agent's failure domain was taken
// out.
type DomainVerified struct {
	Out bool `json:"out,omitempty"`
}

// Invoked reports the endpoint's answer to an Invoke, or that the answer was lost.
type Invoked struct {
	Task    messenger.TaskKey     `json:"task"`
	Attempt int                   `json:"attempt"`
	Run     int                   `json:"run,omitempty"`
	Outcome messenger.TaskOutcome `json:"outcome"`
	RunTime time.Duration         `json:"run_time"`
}

// DrainRequested starts a graceful stop of the agent. Drained follows once no task runs.
type DrainRequested struct{}

func (Tick) event()              {}
func (EntryLinked) event()       {}
func (EntryUnlinked) event()     {}
func (LeaveEntries) event()      {}
func (Received) event()          {}
func (EndpointAnnounced) event() {}
func (EndpointDeparting) event() {}
func (DomainVerified) event()    {}
func (Invoked) event()           {}
func (DrainRequested) event()    {}

// Effect is an output of State.Handle. Only the types in this file implement it.
type Effect interface{ effect() }

// Send sends a message over the link to an entry. Without a link, the message is
// dropped.
type Send struct {
	To      messenger.Incarnation
	Message messenger.Message
}

// Invoke starts a task at the endpoint. Invoked follows exactly once.
type Invoke struct {
	Task     messenger.TaskKey `json:"task"`
	Attempt  int               `json:"attempt"`
	Payload  []byte            `json:"payload,omitempty"`
	TimeLeft time.Duration     `json:"time_left"`
	// Run numbers the runs of a volatile task at this agent, from 1.
	Run      int                `json:"run,omitempty"`
	Position messenger.Position `json:"position,omitzero"`
}

// Abort ends a run of a volatile task. Invoked follows once the run has ended.
type Abort struct {
	Task     messenger.TaskKey  `json:"task"`
	Run      int                `json:"run"`
	Position messenger.Position `json:"position,omitzero"`
	// Reason is only logged.
	Reason string `json:"reason"`
}

// DirectoryChanged lists the entries to link to.
type DirectoryChanged struct {
	Directory []messenger.EntryAddress `json:"directory"`
}

// Release allows the link to an entry that the agent leaves to be closed.
type Release struct {
	Entry messenger.Incarnation `json:"entry"`
}

// VerifyDomain requests a read from the store whether the agent's failure domain was taken
// out. DomainVerified follows if the store answers.
type VerifyDomain struct{}

// Decision is logged for each start, for each refusal, and for each cancel of an attempt that
// may have run.
type Decision struct {
	Task    messenger.TaskKey       `json:"task"`
	Attempt int                     `json:"attempt"`
	Owner   messenger.Incarnation   `json:"owner"`
	Started bool                    `json:"started"`
	Reason  messenger.RefusalReason `json:"reason,omitempty"`
	// Cancelled is true for a cancel.
	Cancelled bool `json:"cancelled,omitempty"`
	// Doubt is why it is not certain that the attempt has never started here; empty if it is
	// certain.
	Doubt Doubt `json:"doubt,omitempty"`
	// Size is what the task requests, Taken what the running tasks already use, and
	// Capacity the total of the endpoint.
	Size     messenger.Resources `json:"size,omitzero"`
	Taken    messenger.Resources `json:"taken,omitzero"`
	Capacity messenger.Resources `json:"capacity,omitzero"`
}

// Doubt is why an agent cannot prove that an attempt has never started.
type Doubt string

// The reasons of a Doubt.
const (
	// DoubtIncarnation: the start was meant for another incarnation of the agent.
	DoubtIncarnation Doubt = "other_incarnation"
	// DoubtForgotten: the record of a run of the attempt may have expired.
	DoubtForgotten Doubt = "record_expired"
	// DoubtRecorded: by the record of the task, the attempt has started, or was in doubt before.
	DoubtRecorded Doubt = "recorded"
)

// Drained reports that the graceful stop is complete.
type Drained struct{}

func (Send) effect()             {}
func (Invoke) effect()           {}
func (Abort) effect()            {}
func (DirectoryChanged) effect() {}
func (Release) effect()          {}
func (VerifyDomain) effect()     {}
func (Decision) effect()         {}
func (Drained) effect()          {}
