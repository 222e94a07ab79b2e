// Package registrar is the micro-kernel of a daemon: components register under a
// name, look each other up by name, and those that are services run in one group that
// stops together.
package registrar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"
)

// Service runs until its context ends, then stops gracefully and returns.
type Service interface {
	Run(ctx context.Context) error
}

// Kernel holds the components of one daemon. Exported fields are set before Run.
type Kernel struct {
	Logger *zap.Logger
	// StopTimeout is how long Run waits for a service to stop before it stops the next
	// one; 0 means without limit. Run returns only when all services have stopped.
	StopTimeout time.Duration

	components map[string]any
	order      []string
}

// ErrStopTimeout means that a service did not stop within StopTimeout. It is logged, not
// returned by Run.
var ErrStopTimeout = errors.New("service did not stop in time")

// Register adds a component under a name. A component that is a Service runs with the
// daemon; other components can only be looked up. Services stop in the reverse order
// of registration, one after the other: the next one is stopped when its predecessor
// has returned or StopTimeout has passed.
func (k *Kernel) Register(name string, component any) error {
	if k.components == nil {
		k.components = make(map[string]any)
	}
	if _, taken := k.components[name]; taken {
		return fmt.Errorf("register %q: the name is taken", name)
	}
	k.components[name] = component
	k.order = append(k.order, name)
	return nil
}

// Lookup returns the component with a name as T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	component, ok := k.components[name]
	if !ok {
		var none T
		return none, fmt.Errorf("look up %q: no such service", name)
	}
	typed, ok := component.(T)
	if !ok {
		return typed, fmt.Errorf("look up %q: it is a %T", name, component)
	}
	return typed, nil
}

// Run starts all services. When ctx ends or a service returns, Run stops all services
// and returns once all have stopped. It returns the error that caused the stop, or nil
// if ctx was cancelled.
func (k *Kernel) Run(ctx context.Context) error {
	var group run.Group
	k.addContext(&group, ctx)
	for i := len(k.order) - 1; i >= 0; i-- {
		name := k.order[i]
		if service, ok := k.components[name].(Service); ok {
			k.addService(&group, name, service)
		}
	}
	err := group.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// addContext adds an actor that stops the group when ctx ends.
func (k *Kernel) addContext(group *run.Group, ctx context.Context) {
	stopped := make(chan struct{})
	group.Add(func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stopped:
			return nil
		}
	}, func(error) { close(stopped) })
}

// addService adds an actor whose interrupt function waits until the service has
// stopped, so that the services stop one after the other.
func (k *Kernel) addService(group *run.Group, name string, service Service) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	group.Add(func() error {
		defer close(done)
		err := service.Run(ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			return fmt.Errorf("service %s: %w", name, err)
		}
		return err
	}, func(error) {
		cancel()
		k.awaitStop(name, done)
	})
}

func (k *Kernel) awaitStop(name string, done <-chan struct{}) {
	if k.StopTimeout == 0 {
		<-done
		return
	}
	timer := time.NewTimer(k.StopTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		k.Logger.Error("service exceeded its stop timeout; stopping the remaining services and still waiting for this one", zap.String("service", name), zap.Error(ErrStopTimeout))
	}
}
