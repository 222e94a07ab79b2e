// Package launcher assembles the daemons, entry and agent: it runs the decision
// code on one control goroutine and connects it to transport, table, endpoint
// and HTTP.
package launcher

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Transport carries messages between processes. A host program may supply its own.
type Transport interface {
	Run(ctx context.Context) error
	// Send queues a message and returns false if there is no link.
	Send(to messenger.Incarnation, m messenger.Message) bool
	// SetTargets replaces the addresses that links are kept to.
	SetTargets(targets []messenger.EntryAddress)
}

// Handler takes what a transport delivers.
type Handler interface {
	Linked(peer messenger.Hello)
	Unlinked(peer messenger.Incarnation)
	Received(from messenger.Incarnation, m messenger.Message)
}

// Names of the services, under which they find each other.
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
	serviceFront     = "front"
	serviceArchive   = "archive"
)

// incarnationBytes makes a collision of two incarnations of one name negligible.
const incarnationBytes = 6

// NewIncarnation draws the incarnation of a process that starts now.
func NewIncarnation(name string) (messenger.Incarnation, error) {
	suffix := make([]byte, incarnationBytes)
	if _, err := rand.Read(suffix); err != nil {
		return "", fmt.Errorf("draw an incarnation: %w", err)
	}
	return messenger.Incarnation(name + "~" + hex.EncodeToString(suffix)), nil
}
