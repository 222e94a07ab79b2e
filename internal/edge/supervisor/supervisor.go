// Package supervisor runs tasks at an endpoint that holds them under a lease. It
// keeps the lease, follows the runs until their end is listed, and ends those
// that nobody wants.
//
// State decides without I/O; Caller carries its calls to the endpoint.
package supervisor

import (
	"context"
	"errors"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Run names one run of a task at an endpoint.
type Run struct {
	Job      string             `json:"job"`
	Position messenger.Position `json:"position"`
	// Number grows with each run of the task, from 1.
	Number int `json:"number"`
}

// RunOf names a run of a task.
func RunOf(task messenger.TaskKey, position messenger.Position, number int) Run {
	return Run{Job: task.Submission.ID, Position: position, Number: number}
}

// Boot is one life of an endpoint.
type Boot struct {
	// ID is the name under which the endpoint takes orders.
	ID string `json:"id"`
	// Address is the TCP address for orders.
	Address string `json:"address"`
	// Born is the time of its start by its own clock; a restart under the same ID
	// has a later one.
	Born int64 `json:"born"`
}

// Start orders a run.
type Start struct {
	Boot    Boot
	Run     Run
	Payload []byte
	// Until is when the lease of the endpoint ends, by the endpoint's clock.
	Until time.Duration
	// Token grows with each life of the agent. Endpoints refuse lower ones.
	Token uint64
}

// Stop ends a run, and forbids it if it has not started.
type Stop struct {
	Boot  Boot
	Run   Run
	Token uint64
}

// Hold renews the lease and asks for the runs.
type Hold struct {
	Boot  Boot
	Token uint64
	// Until is zero if the lease is not to be renewed.
	Until time.Duration
	// Observed is the number of the last end that was taken note of.
	Observed int
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// EndKind says how a run ended.
type EndKind string

// The kinds of end.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	EndOther   EndKind = "other"
)

// End is a listed end of a run.
type End struct {
	Number int
	Run    Run
	Kind   EndKind
}

// Lists is what an endpoint says about its runs.
type Lists struct {
	Born    int64
	Clock   time.Duration
	Running []Run
	Ended   []End
}

// Refusal says why an endpoint did not do what was ordered. It is proof that the
// order had no effect.
type Refusal string

// The refusals of an endpoint.
const (
	RefusedFence     Refusal = "lower_token"
	RefusedOld       Refusal = "old_run"
	RefusedLate      Refusal = "lease_over"
	RefusedRoom      Refusal = "no_room"
	RefusedUnhealthy Refusal = "unhealthy"
	RefusedBoot      Refusal = "other_boot"
	RefusedOther     Refusal = "other"
)

// ErrNoAnswer means that an order may or may not have been carried out, and may
// still be.
var ErrNoAnswer = errors.New("the endpoint gave no answer")

// Endpoint carries orders. An error means that there was no answer.
type Endpoint interface {
	Start(ctx context.Context, start Start) (Refusal, error)
	Stop(ctx context.Context, stop Stop) (Refusal, error)
	Hold(ctx context.Context, hold Hold) (Lists, Refusal, error)
}
