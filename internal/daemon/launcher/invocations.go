package launcher

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/invoker"
)

// invocations invokes tasks at the endpoint, with one goroutine for each running task.
// The gatekeeper limits the number of running tasks to the endpoint's slots.
type invocations struct {
	endpoint invoker.Endpoint
	control  *agentControl
	group    errgroup.Group
	ctx      context.Context
	cancel   context.CancelFunc
}

func newInvocations(endpoint invoker.Endpoint, control *agentControl) *invocations {
	ctx, cancel := context.WithCancel(context.Background())
	return &invocations{endpoint: endpoint, control: control, ctx: ctx, cancel: cancel}
}

// Run waits for the end of ctx, then cancels the invocations that are still in progress.
// The control goroutine has drained before ctx ends.
func (i *invocations) Run(ctx context.Context) error {
	<-ctx.Done()
	i.cancel()
	return i.group.Wait()
}

func (i *invocations) start(e gatekeeper.Invoke) {
	i.group.Go(func() error {
		i.invoke(e)
		return nil
	})
}

// invoke calls the endpoint once. The call is not repeated if the reply is lost.
func (i *invocations) invoke(e gatekeeper.Invoke) {
	ctx, cancel := context.WithTimeout(i.ctx, e.TimeLeft)
	defer cancel()
	startedAt := time.Now()
	result, err := i.endpoint.Invoke(ctx, invoker.Invocation{
		Task: e.Task, Attempt: e.Attempt, Payload: e.Payload,
	})
	i.control.post(gatekeeper.Invoked{
		Task:    e.Task,
		Attempt: e.Attempt,
		Outcome: outcomeOf(result, err),
		RunTime: time.Since(startedAt),
	})
}

func outcomeOf(result invoker.Result, err error) messenger.TaskOutcome {
	switch {
	case errors.Is(err, invoker.ErrNotStarted):
		return messenger.TaskOutcome{State: messenger.TaskNotRun, Reason: err.Error()}
	case err != nil:
		return messenger.TaskOutcome{State: messenger.TaskMayHaveRun, Reason: err.Error()}
	case !result.Succeeded:
		return messenger.TaskOutcome{State: messenger.TaskFailed, Reason: result.Reason}
	}
	return messenger.TaskOutcome{State: messenger.TaskSucceeded, Result: result.Body}
}
