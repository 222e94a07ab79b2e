// Package registrar is the micro-kernel of a daemon: services register under a
// name, find each other by name, and run in one group that stops together.
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

// Kernel holds the services of one daemon. Exported fields are set before Run.
type Kernel struct {
	Logger *zap.Logger
	// StopPatience bounds the graceful stop of each service; 0 means no bound.
	StopPatience time.Duration

	parts map[string]any
	order []string
}

// ErrStopPatience means that a service did not stop in time.
var ErrStopPatience = errors.New("service did not stop in time")

// Register adds a part under a name. A part that is a Service runs with the
// daemon; other parts can only be looked up. Services stop in the reverse order
// of registration, each after the one before has stopped.
func (k *Kernel) Register(name string, part any) error {
	if k.parts == nil {
		k.parts = make(map[string]any)
	}
	if _, taken := k.parts[name]; taken {
		return fmt.Errorf("register %q: the name is taken", name)
	}
	k.parts[name] = part
	k.order = append(k.order, name)
	return nil
}

// Lookup returns the part with a name as T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	part, ok := k.parts[name]
	if !ok {
		var none T
		return none, fmt.Errorf("look up %q: no such service", name)
	}
	typed, ok := part.(T)
	if !ok {
		return typed, fmt.Errorf("look up %q: it is a %T", name, part)
	}
	return typed, nil
}

// Run starts all services and returns once all have stopped, because ctx ended
// or because one of them did. It returns the first error.
func (k *Kernel) Run(ctx context.Context) error {
	var group run.Group
	k.addContext(&group, ctx)
	for i := len(k.order) - 1; i >= 0; i-- {
		name := k.order[i]
		if service, ok := k.parts[name].(Service); ok {
			k.addService(&group, name, service)
		}
	}
	err := group.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// addContext makes the end of ctx stop the group.
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

// addService adds an actor whose interrupt waits for the service, so that the
// services stop one after the other.
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
		k.await(name, done)
	})
}

func (k *Kernel) await(name string, done <-chan struct{}) {
	if k.StopPatience == 0 {
		<-done
		return
	}
	timer := time.NewTimer(k.StopPatience)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		k.Logger.Error("stop", zap.String("service", name), zap.Error(ErrStopPatience))
	}
}
