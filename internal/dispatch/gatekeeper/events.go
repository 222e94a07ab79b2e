package gatekeeper

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Event is sealed: only the types of this file implement it.
type Event interface{ event() }

// Tick lets time-driven decisions happen: reports, expiry of records.
type Tick struct{}

// EntryLinked reports a new link to an entry, the first or a replacement.
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

// EndpointAnnounced reports what the endpoint offers; it is renewed regularly.
type EndpointAnnounced struct {
	Service string   `json:"service"`
	Slots   int      `json:"slots"`
	Labels  []string `json:"labels,omitempty"`
	// Capacity, if stated, replaces the slots.
	Capacity messenger.Resources `json:"capacity,omitzero"`
}

// EndpointDeparting reports that the endpoint leaves: nothing new goes to it.
type EndpointDeparting struct{}

// Invoked reports that the endpoint has answered, or that its reply was lost.
type Invoked struct {
	Task    messenger.TaskKey     `json:"task"`
	Attempt int                   `json:"attempt"`
	Run     int                   `json:"run,omitempty"`
	Outcome messenger.TaskOutcome `json:"outcome"`
	RunTime time.Duration         `json:"run_time"`
}

// DrainRequested starts a graceful stop of the agent. Drained follows.
type DrainRequested struct{}

func (Tick) event()              {}
func (EntryLinked) event()       {}
func (EntryUnlinked) event()     {}
func (Received) event()          {}
func (EndpointAnnounced) event() {}
func (EndpointDeparting) event() {}
func (Invoked) event()           {}
func (DrainRequested) event()    {}

// Effect is sealed: only the types of this file implement it.
type Effect interface{ effect() }

// Send sends a message over the link to an entry. It is dropped if there is none.
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

// Abort ends a run of a volatile task. Invoked follows once it has ended.
type Abort struct {
	Task     messenger.TaskKey  `json:"task"`
	Run      int                `json:"run"`
	Position messenger.Position `json:"position,omitzero"`
	// Reason says why, for the log.
	Reason string `json:"reason"`
}

// DirectoryChanged lists the entries to link to.
type DirectoryChanged struct {
	Directory []messenger.EntryAddress `json:"directory"`
}

// Decision is logged for each start and each refusal.
type Decision struct {
	Task    messenger.TaskKey       `json:"task"`
	Attempt int                     `json:"attempt"`
	Owner   messenger.Incarnation   `json:"owner"`
	Started bool                    `json:"started"`
	Reason  messenger.RefusalReason `json:"reason,omitempty"`
	// Size, Taken and Capacity are the room that the task asks for, the room of the
	// running tasks before it, and that of the endpoint.
	Size     messenger.Resources `json:"size,omitzero"`
	Taken    messenger.Resources `json:"taken,omitzero"`
	Capacity messenger.Resources `json:"capacity,omitzero"`
}

// Drained says that the graceful stop is complete.
type Drained struct{}

func (Send) effect()             {}
func (Invoke) effect()           {}
func (Abort) effect()            {}
func (DirectoryChanged) effect() {}
func (Decision) effect()         {}
func (Drained) effect()          {}
