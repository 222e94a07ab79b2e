// Package supervisor runs tasks at an endpoint that runs them only while a lease is
// valid. It renews the lease, tracks each run until the endpoint lists its end, and stops
// runs that were not ordered or were aborted.
//
// State makes the decisions without I/O; Caller executes its calls at the endpoint.
package supervisor

import (
	"context"
	"errors"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Run identifies one run of a task at an endpoint.
type Run struct {
	Job      string             `json:"job"`
	Position messenger.Position `json:"position"`
	// Number counts the runs of the task, from 1.
	Number int `json:"number"`
}

// RunOf returns the identifier of a run of a task.
func RunOf(task messenger.TaskKey, position messenger.Position, number int) Run {
	return Run{Job: task.Submission.ID, Position: position, Number: number}
}

// Boot identifies an endpoint from one start of its process to the next.
type Boot struct {
	// ID is the name that orders to the endpoint must carry.
	ID string `json:"id"`
	// Address is the TCP address for orders.
	Address string `json:"address"`
	// Born is the endpoint's start time by its own clock. It is later after a restart
	// under the same ID.
	Born int64 `json:"born"`
}

// Start orders a run.
type Start struct {
	Boot    Boot
	Run     Run
	Payload []byte
	// Until is the end of the endpoint's lease, by the endpoint's clock.
	Until time.Duration
	// Token grows with each incarnation of the agent. Endpoints refuse lower tokens than
	// the highest that they have seen.
	Token uint64
}

// Stop orders the end of a run. If the run has not started, its start is refused.
type Stop struct {
	Boot  Boot
	Run   Run
	Token uint64
}

// Hold is the call that renews the endpoint's lease and, as a long poll, waits for the
// end of a run. The answer lists the running and the ended runs.
type Hold struct {
	Boot  Boot
	Token uint64
	// Until is the end of the renewed lease, or zero if the lease is not to be renewed.
	Until time.Duration
	// Observed is the number of the last end that was processed.
	Observed int
	// Wait is how long the endpoint may delay the answer until a run ends; with 0, it
	// answers at once.
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

// Lists is an endpoint's report of its runs.
type Lists struct {
	Born    int64
	Clock   time.Duration
	Running []Run
	Ended   []End
}

// Refusal is the reason why an endpoint refused an order. A refused order has had no
// effect.
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

// ErrNoAnswer means that it is unknown whether an order was carried out or still will
// be.
var ErrNoAnswer = errors.New("the endpoint gave no answer")

// Endpoint sends orders to an endpoint. An error means that there was no answer.
type Endpoint interface {
	Start(ctx context.Context, start Start) (Refusal, error)
	Stop(ctx context.Context, stop Stop) (Refusal, error)
	Hold(ctx context.Context, hold Hold) (Lists, Refusal, error)
}
