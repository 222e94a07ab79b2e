package launcher

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/server"
	"github.com/burdockrudder/burdockrudder/internal/kernel/registrar"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
	"github.com/burdockrudder/burdockrudder/internal/settings/versioner"
	"github.com/burdockrudder/burdockrudder/internal/storage/journaler"
	"github.com/burdockrudder/burdockrudder/internal/storage/leaser"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// entryStopPatience bounds each service's part of a graceful stop.
const entryStopPatience = 30 * time.Second

// Entry is the entry daemon. Its exported fields are set before Run. A host
// program may supply its own table and transport.
type Entry struct {
	Config      EntryConfig
	Incarnation messenger.Incarnation
	// Seed seeds the decisions' random source.
	Seed  uint64
	Table storer.Table
	// Transport builds the transport that delivers to the handler.
	Transport func(handler Handler) Transport
	// HTTPListener replaces Config.HTTPListen.
	HTTPListener net.Listener
	// HTTPTLS turns HTTPS on for callers and operators.
	HTTPTLS *tls.Config
	Logger  *zap.Logger
	Scope   tally.Scope
	// Metrics serves /metrics.
	Metrics http.Handler
	// Settings, if set, watches the operators' settings in place of the table's
	// head row. It runs as a service.
	Settings func(sink SettingsSink) registrar.Service
	// Front, if set, serves callers in a protocol of its own, beside HTTPListen.
	// It is stopped after the decisions have drained.
	Front func(dispatcher server.Dispatcher) registrar.Service
	// Adjust, if set, changes the timing of the decisions.
	Adjust func(*coordinator.Config)

	// control is set by Run while Snapshot may already be called.
	control atomic.Pointer[entryControl]
}

// Run runs the entry until ctx ends, then drains and returns.
func (e *Entry) Run(ctx context.Context) error {
	kernel, err := e.assemble()
	if err != nil {
		return fmt.Errorf("assemble entry %s: %w", e.Config.Name, err)
	}
	e.Logger.Info("entry starts", zap.String("incarnation", string(e.Incarnation)))
	defer e.Logger.Info("entry has stopped", zap.String("incarnation", string(e.Incarnation)))
	return kernel.Run(ctx)
}

// assemble registers the services; they stop in the reverse order: control
// drains while HTTP still answers, and the transport goes last.
func (e *Entry) assemble() (*registrar.Kernel, error) {
	kernel := &registrar.Kernel{Logger: e.Logger, StopTimeout: entryStopPatience}
	control, err := e.newControl(kernel)
	if err != nil {
		return nil, err
	}
	e.control.Store(control)
	parts := []part{
		{serviceTransport, e.Transport(control)},
		{serviceJournal, e.newJournal(control)},
		{serviceLeaser, e.newLeaser(control)},
		{serviceWatcher, e.newSettings(control)},
	}
	if e.Config.HTTPListen != "" || e.HTTPListener != nil {
		parts = append(parts, part{serviceHTTP, e.newServer(control)})
	}
	if e.Front != nil {
		parts = append(parts, part{serviceFront, e.Front(control)})
	}
	parts = append(parts, part{serviceControl, control})
	for _, p := range parts {
		if err := kernel.Register(p.name, p.part); err != nil {
			return nil, err
		}
	}
	return kernel, nil
}

func (e *Entry) newControl(kernel *registrar.Kernel) (*entryControl, error) {
	config := coordinator.Defaults(e.Config.Name, e.Incarnation, e.address())
	if e.Adjust != nil {
		e.Adjust(&config)
	}
	trace, err := openTrace(e.Config, e.Incarnation, e.address(), e.Seed)
	if err != nil {
		return nil, err
	}
	control := &entryControl{
		kernel:  kernel,
		logger:  e.Logger,
		scope:   e.Scope,
		counted: newDecisionCounters(e.Scope),
		trace:   trace,
		clock:   newClock(),
		sample:  rand.New(rand.NewPCG(e.Seed, sampleStream)),
		state: &coordinator.State{
			Config: config,
			Random: rand.New(rand.NewPCG(e.Seed, e.Seed)),
		},
	}
	control.prepare(config.DrainTimeout)
	return control, nil
}

// address is what other processes dial.
func (e *Entry) address() string {
	if e.Config.Advertise != "" {
		return e.Config.Advertise
	}
	return e.Config.Listen
}

func (e *Entry) newJournal(control *entryControl) *journaler.Journal {
	return &journaler.Journal{
		Table:           e.Table,
		Writer:          e.Incarnation,
		WritesPerSecond: e.Config.JournalWritesPerSecond,
		Retention:       time.Duration(e.Config.RowRetention),
		Seed:            e.Seed,
		Emit:            control.emit,
		Logger:          e.Logger,
		Metrics:         e.Scope,
	}
}

func (e *Entry) newLeaser(control *entryControl) *leaser.Leaser {
	l := &leaser.Leaser{
		Table:       e.Table,
		Name:        e.Config.Name,
		Incarnation: e.Incarnation,
		Address:     e.address(),
		Emit:        control.emit,
		Logger:      e.Logger,
	}
	l.Prepare()
	return l
}

// SettingsSink takes the settings that a watcher has read. The tree is nil if the
// version is not higher than all before; the receiver does not change it.
type SettingsSink func(sentAt time.Time, version uint64, tree *resolver.Tree)

func (e *Entry) newSettings(control *entryControl) registrar.Service {
	if e.Settings != nil {
		return e.Settings(control.settingsRead)
	}
	return e.newWatcher(control)
}

func (e *Entry) newWatcher(control *entryControl) *versioner.Watcher {
	return &versioner.Watcher{
		Table:  e.Table,
		OnRead: control.settingsRead,
		OnError: func(err error) {
			e.Logger.Warn("settings not read", zap.Error(err))
		},
	}
}

func (e *Entry) newServer(control *entryControl) *server.Server {
	return &server.Server{
		Address:       e.Config.HTTPListen,
		Listener:      e.HTTPListener,
		TLS:           e.HTTPTLS,
		RootKeySHA256: e.Config.RootKeySHA256,
		Dispatcher:    control,
		Settings:      &settingsStore{store: &versioner.Store{Table: e.Table}, control: control},
		Metrics:       e.Metrics,
		Logger:        e.Logger,
		Scope:         e.Scope,
	}
}

// Snapshot returns the last published state, nil before the first.
func (e *Entry) Snapshot() *coordinator.Snapshot {
	control := e.control.Load()
	if control == nil {
		return nil
	}
	return control.Snapshot()
}
