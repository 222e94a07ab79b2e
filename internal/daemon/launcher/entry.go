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
	"github.com/burdockrudder/burdockrudder/internal/edge/guard"
	"github.com/burdockrudder/burdockrudder/internal/edge/server"
	"github.com/burdockrudder/burdockrudder/internal/kernel/registrar"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
	"github.com/burdockrudder/burdockrudder/internal/settings/versioner"
	"github.com/burdockrudder/burdockrudder/internal/storage/journaler"
	"github.com/burdockrudder/burdockrudder/internal/storage/leaser"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// entryStopTimeout limits the graceful stop of each service.
const entryStopTimeout = 30 * time.Second

// Entry is the entry daemon. Its exported fields must be set before Run. A program that
// embeds the entry may supply its own table and transport.
type Entry struct {
	Config      EntryConfig
	Incarnation messenger.Incarnation
	// Seed seeds the decisions' random source.
	Seed  uint64
	Table storer.Table
	// Transport builds the transport that delivers messages to the handler.
	Transport func(handler Handler) Transport
	// HTTPListener replaces Config.HTTPListen.
	HTTPListener net.Listener
	// HTTPTLS, if set, enables HTTPS for callers and operators.
	HTTPTLS *tls.Config
	// Guard bounds what clients take; nil means the default bounds.
	Guard  *guard.Guard
	Logger *zap.Logger
	Scope  tally.Scope
	// Metrics serves /metrics.
	Metrics http.Handler
	// Settings, if set, builds the service that watches the operators' settings. It
	// replaces the watcher of the head row in the table.
	Settings func(sink SettingsSink) registrar.Service
	// Front, if set, builds a service for callers with a different protocol, in addition
	// to the server on HTTPListen. It is stopped after the decision code has drained.
	Front func(dispatcher server.Dispatcher) registrar.Service
	// Adjust, if set, overrides the timing of the entry's decisions.
	Adjust func(*coordinator.Config)

	// control is atomic because Snapshot may be called while Run sets it.
	control atomic.Pointer[entryControl]
}

// Run runs the entry until ctx ends, then drains the entry and returns.
func (e *Entry) Run(ctx context.Context) error {
	kernel, err := e.assemble()
	if err != nil {
		return fmt.Errorf("assemble entry %s: %w", e.Config.Name, err)
	}
	e.Logger.Info("entry starts", zap.String("incarnation", string(e.Incarnation)))
	defer e.Logger.Info("entry has stopped", zap.String("incarnation", string(e.Incarnation)))
	return kernel.Run(ctx)
}

// assemble registers the services. They are stopped in reverse order: control drains
// while HTTP still answers, and the transport stops last.
func (e *Entry) assemble() (*registrar.Kernel, error) {
	kernel := &registrar.Kernel{Logger: e.Logger, StopTimeout: entryStopTimeout}
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
		kernel:   kernel,
		logger:   e.Logger,
		scope:    e.Scope,
		counters: newDecisionCounters(e.Scope),
		trace:    trace,
		clock:    newClock(),
		sample:   rand.New(rand.NewPCG(e.Seed, sampleStream)),
		state: &coordinator.State{
			Config: config,
			Random: rand.New(rand.NewPCG(e.Seed, e.Seed)),
		},
	}
	control.prepare(config.DrainTimeout)
	return control, nil
}

// address returns the address that other processes dial.
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

// SettingsSink receives the settings that a watcher has read. The tree is nil if the
// version is not higher than all earlier ones; the receiver must not modify the tree.
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
			e.Logger.Warn("failed to read the settings; retrying", zap.Error(err))
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
		Guard:         e.Guard,
		Settings:      &settingsStore{store: &versioner.Store{Table: e.Table}, control: control},
		Metrics:       e.Metrics,
		Logger:        e.Logger,
		Scope:         e.Scope,
	}
}

// Snapshot returns the last published snapshot, or nil if there is none yet.
func (e *Entry) Snapshot() *coordinator.Snapshot {
	control := e.control.Load()
	if control == nil {
		return nil
	}
	return control.Snapshot()
}
