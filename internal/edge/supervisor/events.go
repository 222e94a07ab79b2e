package supervisor

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Event is an input of State.Handle. Only the types in this file implement it.
type Event interface{ event() }

// Tick triggers time-driven work such as polling, repeated stops and the expiry of the
// lease.
type Tick struct{}

// Announced reports that an endpoint has announced itself. Confirmed or Unconfirmed
// follows: any process can send an announcement, so that it proves nothing by itself.
type Announced struct {
	Boot Boot `json:"boot"`
}

// Invoke requests a run. Ended follows exactly once.
type Invoke struct {
	Task    messenger.TaskKey `json:"task"`
	Run     Run               `json:"run"`
	Payload []byte            `json:"payload,omitempty"`
}

// Abort requests the end of a run. Ended follows.
type Abort struct {
	Run Run `json:"run"`
}

// StartAnswered reports the result of a CallStart.
type StartAnswered struct {
	Run     Run     `json:"run"`
	Refusal Refusal `json:"refusal,omitempty"`
	// NoAnswer is true if the order may have been carried out or may still be.
	NoAnswer bool `json:"no_answer,omitempty"`
}

// StopAnswered reports the result of a CallStop.
type StopAnswered struct {
	Run      Run     `json:"run"`
	Refusal  Refusal `json:"refusal,omitempty"`
	NoAnswer bool    `json:"no_answer,omitempty"`
}

// HoldAnswered reports the result of a CallHold.
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

// Effect is an output of State.Handle. Only the types in this file implement it.
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

// Wake requests a Tick after the given time.
type Wake struct{ After time.Duration }

// Ended reports the confirmed end of a run: the run is not in progress, and the boot that
// was followed at its end cannot start it any more. Only a run whose start was refused or
// never sent is reported as not run.
type Ended struct {
	Task    messenger.TaskKey     `json:"task"`
	Run     Run                   `json:"run"`
	Outcome messenger.TaskOutcome `json:"outcome"`
	RunTime time.Duration         `json:"run_time"`
}

// Ready reports that all runs at the endpoint were ordered by this process, so that it
// may accept tasks.
type Ready struct{ Boot Boot }

// Unready reports that the endpoint must not be given new tasks for now.
type Unready struct{ Reason string }

// Confirmed reports that the endpoint has answered from the boot that was announced.
type Confirmed struct{ Boot Boot }

// Unconfirmed reports that an announced boot is not the one of the endpoint, as far as is
// known.
type Unconfirmed struct {
	Boot   Boot
	Reason string
}

// LogMessage is an event for the log.
type LogMessage struct {
	Message string
	Run     Run
	Reason  string
	Age     time.Duration
}

func (CallStart) effect()   {}
func (CallStop) effect()    {}
func (CallHold) effect()    {}
func (Wake) effect()        {}
func (Ended) effect()       {}
func (Ready) effect()       {}
func (Unready) effect()     {}
func (Confirmed) effect()   {}
func (Unconfirmed) effect() {}
func (LogMessage) effect()  {}
