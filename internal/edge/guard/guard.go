// Package guard bounds what clients outside our control can take from a process: memory,
// connections and time. Each HTTP listener of a process is wrapped by a Listener; all
// listeners of a process share one byte budget. docs/design/guard.md has the reasons.
package guard

import (
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Guard holds the byte budget that the listeners of a process share. Its exported fields
// must be set before the first call of a method.
type Guard struct {
	Settings Settings
	// Logger and Scope are optional.
	Logger *zap.Logger
	Scope  tally.Scope

	once    sync.Once
	budget  budget
	holders holders
	// now returns the time since the guard was set up. Tests replace it.
	now func() time.Duration
}

// OrDefault returns g, or a guard with the default settings if g is nil.
func OrDefault(g *Guard, logger *zap.Logger, scope tally.Scope) *Guard {
	if g != nil {
		return g
	}
	return &Guard{Settings: Defaults(), Logger: logger, Scope: scope}
}

func (g *Guard) setup() {
	g.once.Do(func() {
		if g.Logger == nil {
			g.Logger = zap.NewNop()
		}
		if g.Scope == nil {
			g.Scope = tally.NoopScope
		}
		if g.now == nil {
			start := time.Now()
			g.now = func() time.Duration { return time.Since(start) }
		}
		g.budget.limit, g.budget.reserve = g.Settings.budget()
	})
}

// Class says which part of the budget and which maximum of connections a listener uses.
type Class int

const (
	// Callers is the class of the listener for the callers' requests.
	Callers Class = iota
	// Reserved is the class of the listeners for readiness, metrics and announcements,
	// which have a reserve that callers cannot use up.
	Reserved
)

// Wrap returns a listener that bounds the connections that it accepts from inner. The name
// stands in metrics and log lines.
func (g *Guard) Wrap(inner net.Listener, name string, class Class) *Listener {
	return g.wrap(inner, name, class, connectionBytes)
}

// WrapTLS is Wrap for a listener of TLS connections, each of which takes more memory.
func (g *Guard) WrapTLS(inner net.Listener, name string, class Class) *Listener {
	return g.wrap(inner, name, class, tlsConnectionBytes)
}

func (g *Guard) wrap(inner net.Listener, name string, class Class, cost int64) *Listener {
	g.setup()
	l := &Listener{
		Listener: inner, guard: g, name: name, class: class, cost: cost,
		max: g.Settings.maxConnections(class, cost), peers: make(map[peer]*peerCount),
	}
	l.limits.prepare(g.Scope, name)
	return l
}
