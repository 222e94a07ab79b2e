package supervisor

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// orderPatience bounds a start or a stop on the same host.
	orderPatience = 50 * time.Millisecond
	// holdPatience bounds a hold beyond the time that it waits for an end.
	holdPatience = 200 * time.Millisecond
)

// Caller carries the calls of a State to the endpoint, each in a goroutine of its
// own. Its exported fields are set before Run.
type Caller struct {
	Endpoint Endpoint
	// Post hands the answers back to the goroutine that owns the State.
	Post func(Event)

	group errgroup.Group
	ctx   context.Context
	end   context.CancelFunc
}

// Prepare makes the calls possible. It is called once, before the first Carry.
func (c *Caller) Prepare() {
	c.ctx, c.end = context.WithCancel(context.Background())
}

// Run waits for the end of ctx, then ends the calls that are on their way.
func (c *Caller) Run(ctx context.Context) error {
	<-ctx.Done()
	c.end()
	return c.group.Wait()
}

// Carry sends a call. It returns at once.
func (c *Caller) Carry(effect Effect) {
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
		// The other effects are not calls.
	}
}

func (c *Caller) start(start Start) {
	ctx, cancel := context.WithTimeout(c.ctx, orderPatience)
	defer cancel()
	refusal, err := c.Endpoint.Start(ctx, start)
	c.Post(StartAnswered{Run: start.Run, Refusal: refusal, NoAnswer: err != nil})
}

func (c *Caller) stop(stop Stop) {
	ctx, cancel := context.WithTimeout(c.ctx, orderPatience)
	defer cancel()
	refusal, err := c.Endpoint.Stop(ctx, stop)
	c.Post(StopAnswered{Run: stop.Run, Refusal: refusal, NoAnswer: err != nil})
}

func (c *Caller) hold(e CallHold) {
	ctx, cancel := context.WithTimeout(c.ctx, e.Hold.Wait+holdPatience)
	defer cancel()
	lists, refusal, err := c.Endpoint.Hold(ctx, e.Hold)
	c.Post(HoldAnswered{Call: e.Call, Lists: lists, Refusal: refusal, NoAnswer: err != nil})
}

func (c *Caller) wake(after time.Duration) {
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
	case <-timer.C:
		c.Post(Tick{})
	}
}
