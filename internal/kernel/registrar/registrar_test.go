package registrar

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

type recorder struct {
	mu    sync.Mutex
	stops []string
}

func (r *recorder) add(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, name)
}

type fakeService struct {
	name string
	log  *recorder
	fail chan error
}

func (f *fakeService) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		f.log.add(f.name)
		return nil
	case err := <-f.fail:
		return err
	}
}

// Guards against a shutdown that stops the transport before the services that still
// use it.
func TestServicesStopInReverseOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &recorder{}
		kernel := &Kernel{Logger: zap.NewNop()}
		for _, name := range []string{"transport", "journal", "control"} {
			if err := kernel.Register(name, &fakeService{name: name, log: log}); err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() { result <- kernel.Run(ctx) }()
		synctest.Wait()
		cancel()
		if err := <-result; err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff([]string{"control", "journal", "transport"}, log.stops); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against a daemon that keeps running after one of its services has failed.
func TestOneFailureStopsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &recorder{}
		kernel := &Kernel{Logger: zap.NewNop()}
		failing := &fakeService{name: "journal", log: log, fail: make(chan error, 1)}
		cause := errors.New("listener closed")
		for _, service := range []*fakeService{{name: "transport", log: log}, failing} {
			if err := kernel.Register(service.name, service); err != nil {
				t.Fatal(err)
			}
		}
		failing.fail <- cause
		if err := kernel.Run(t.Context()); !errors.Is(err, cause) {
			t.Errorf("got %v", err)
		}
		if diff := cmp.Diff([]string{"transport"}, log.stops); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against two services under one name and against lookups of the wrong type.
func TestNames(t *testing.T) {
	kernel := &Kernel{Logger: zap.NewNop()}
	if err := kernel.Register("clock", 7); err != nil {
		t.Fatal(err)
	}
	if err := kernel.Register("clock", 8); err == nil {
		t.Error("the second registration of a name was accepted")
	}
	if got, err := Lookup[int](kernel, "clock"); err != nil || got != 7 {
		t.Errorf("got %d, %v", got, err)
	}
	if _, err := Lookup[string](kernel, "clock"); err == nil {
		t.Error("a lookup of the wrong type succeeded")
	}
	if _, err := Lookup[int](kernel, "journal"); err == nil {
		t.Error("a lookup of an unknown name succeeded")
	}
}
