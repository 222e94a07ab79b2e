// Package launcher assembles the entry and agent daemons. It runs the decision code of a
// daemon on one control goroutine and connects it to transport, table, endpoint and HTTP.
package launcher

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Transport carries messages between processes. An embedding program may supply its own.
type Transport interface {
	Run(ctx context.Context) error
	// Send queues a message and reports whether there is a link to the receiver.
	Send(to messenger.Incarnation, m messenger.Message) bool
	// SetTargets replaces the addresses to which links are kept open.
	SetTargets(targets []messenger.EntryAddress)
}

// Handler receives link changes and messages from a transport.
type Handler interface {
	Linked(peer messenger.Hello)
	Unlinked(peer messenger.Incarnation)
	Received(from messenger.Incarnation, m messenger.Message)
}

// Names under which the services are registered and looked up.
const (
	serviceTransport = "transport"
	serviceJournal   = "journal"
	serviceLeaser    = "leaser"
	serviceWatcher   = "watcher"
	serviceControl   = "control"
	serviceHTTP      = "http"
	serviceInvoker   = "invoker"
	serviceEndpoint  = "endpoint"
	serviceDirectory = "directory"
	serviceVerifier  = "verifier"
	serviceFront     = "front"
	serviceArchive   = "archive"
)

// incarnationBytes is the length of an incarnation's random suffix. With 6 bytes,
// collisions between incarnations of one name are negligible.
const incarnationBytes = 6

// NewIncarnation returns a new random incarnation of the named process.
func NewIncarnation(name string) (messenger.Incarnation, error) {
	suffix := make([]byte, incarnationBytes)
	if _, err := rand.Read(suffix); err != nil {
		return "", fmt.Errorf("draw an incarnation: %w", err)
	}
	return messenger.Incarnation(name + "~" + hex.EncodeToString(suffix)), nil
}
