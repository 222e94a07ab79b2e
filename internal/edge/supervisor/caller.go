package supervisor

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// orderTimeout is the timeout of a start or a stop. The endpoint is on the same host.
	orderTimeout = 50 * time.Millisecond
	// holdAnswerMargin is the time that a hold may take beyond Hold.Wait.
	holdAnswerMargin = 200 * time.Millisecond
)

// Caller executes the calls of a State at the endpoint, each in its own goroutine. Its
// exported fields must be set before Run.
type Caller struct {
	Endpoint Endpoint
	// Deliver passes an answer to the goroutine that owns the State.
	Deliver func(Event)

	group errgroup.Group
	ctx   context.Context
	end   context.CancelFunc
}

// Prepare sets up the context of the calls. It must be called once, before the first
// Execute.
func (c *Caller) Prepare() {
	c.ctx, c.end = context.WithCancel(context.Background())
}

// Run waits until ctx is done, then cancels the calls in flight and waits for them.
func (c *Caller) Run(ctx context.Context) error {
	<-ctx.Done()
	c.end()
	return c.group.Wait()
}

// Execute starts the call or timer that an effect requests, and returns without waiting.
// It ignores other effects.
func (c *Caller) Execute(effect Effect) {
	switch e := effect.(type) {
	case CallStart:
		c.group.Go(func() error { c.start(e.Start); return nil })
	case CallStop:
		c.group.Go(func() error { c.stop(e.Stop); return nil })
	case CallHold:
		c.group.Go(func() error { c.hold(e); return nil })
	case Wake:
		c.group.Go(func() error { c.wake(e.After); return nil })
	default:
		// The other effects are neither calls nor timers.
	}
}

func (c *Caller) start(start Start) {
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	refusal, err := c.Endpoint.Start(ctx, start)
	c.Deliver(StartAnswered{Run: start.Run, Refusal: refusal, NoAnswer: err != nil})
}

func (c *Caller) stop(stop Stop) {
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	refusal, err := c.Endpoint.Stop(ctx, stop)
	c.Deliver(StopAnswered{Run: stop.Run, Refusal: refusal, NoAnswer: err != nil})
}

func (c *Caller) hold(e CallHold) {
	ctx, cancel := context.WithTimeout(c.ctx, e.Hold.Wait+holdAnswerMargin)
	defer cancel()
	lists, refusal, err := c.Endpoint.Hold(ctx, e.Hold)
	c.Deliver(HoldAnswered{Call: e.Call, Lists: lists, Refusal: refusal, NoAnswer: err != nil})
}

func (c *Caller) wake(after time.Duration) {
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
	case <-timer.C:
		c.Deliver(Tick{})
	}
}
