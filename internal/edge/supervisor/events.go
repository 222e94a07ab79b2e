package supervisor

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Event is sealed: only the types of this file implement it.
type Event interface{ event() }

// Tick lets time-driven decisions happen.
type Tick struct{}

// Announced reports that the endpoint has announced itself.
type Announced struct {
	Boot Boot `json:"boot"`
}

// Invoke asks for a run. Ended follows exactly once.
type Invoke struct {
	Task    messenger.TaskKey `json:"task"`
	Run     Run               `json:"run"`
	Payload []byte            `json:"payload,omitempty"`
}

// Abort asks to end a run. Ended follows.
type Abort struct {
	Run Run `json:"run"`
}

// StartAnswered reports on a CallStart.
type StartAnswered struct {
	Run     Run     `json:"run"`
	Refusal Refusal `json:"refusal,omitempty"`
	// NoAnswer is true if the order may have been carried out, or may yet be.
	NoAnswer bool `json:"no_answer,omitempty"`
}

// StopAnswered reports on a CallStop.
type StopAnswered struct {
	Run      Run     `json:"run"`
	Refusal  Refusal `json:"refusal,omitempty"`
	NoAnswer bool    `json:"no_answer,omitempty"`
}

// HoldAnswered reports on a CallHold.
type HoldAnswered struct {
	Call     uint64  `json:"call"`
	Lists    Lists   `json:"lists"`
	Refusal  Refusal `json:"refusal,omitempty"`
	NoAnswer bool    `json:"no_answer,omitempty"`
}

func (Tick) event()          {}
func (Announced) event()     {}
func (Invoke) event()        {}
func (Abort) event()         {}
func (StartAnswered) event() {}
func (StopAnswered) event()  {}
func (HoldAnswered) event()  {}

// Effect is sealed: only the types of this file implement it.
type Effect interface{ effect() }

// CallStart sends a start. StartAnswered follows.
type CallStart struct{ Start Start }

// CallStop sends a stop. StopAnswered follows.
type CallStop struct{ Stop Stop }

// CallHold sends a hold. HoldAnswered follows.
type CallHold struct {
	Call uint64
	Hold Hold
}

// Wake asks for a Tick after a while.
type Wake struct{ After time.Duration }

// Ended reports the proved end of a run: it does not run and never will again.
type Ended struct {
	Task    messenger.TaskKey     `json:"task"`
	Run     Run                   `json:"run"`
	Outcome messenger.TaskOutcome `json:"outcome"`
	RunTime time.Duration         `json:"run_time"`
}

// Ready says that nothing runs at the endpoint that this process has not ordered.
type Ready struct{ Boot Boot }

// Unready says that the endpoint can't be followed now.
type Unready struct{ Reason string }

// Noted is logged: something that changes what this process believes.
type Noted struct {
	Message string
	Run     Run
	Reason  string
	Age     time.Duration
}

func (CallStart) effect() {}
func (CallStop) effect()  {}
func (CallHold) effect()  {}
func (Wake) effect()      {}
func (Ended) effect()     {}
func (Ready) effect()     {}
func (Unready) effect()   {}
func (Noted) effect()     {}
