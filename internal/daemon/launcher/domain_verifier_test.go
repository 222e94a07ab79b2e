package launcher

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
)

// Guards against a failed read of the store that counts as a take-out or as its end, and
// against requests that wait for the store.
func TestDomainIsVerified(t *testing.T) {
	type answer struct {
		out bool
		err error
	}
	answers := make(chan answer)
	c := &agentControl{logger: zap.NewNop()}
	c.prepare(time.Second)
	verifier := newDomainVerifier(func(context.Context) (bool, error) {
		a := <-answers
		return a.out, a.err
	}, c, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return verifier.Run(ctx) })
	for _, out := range []bool{true, false, true} {
		verifier.request()
		answers <- answer{err: errors.New("store unavailable")}
		verifier.request()
		answers <- answer{out: out}
		if got := (<-c.loop.events).gatekeeper; got != (gatekeeper.DomainVerified{Out: out}) {
			t.Errorf("posted %+v, want out %v", got, out)
		}
	}
	// A request never waits, whatever the store does.
	for range 3 {
		verifier.request()
	}
	close(answers)
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
