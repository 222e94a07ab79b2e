package linker

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// meter counts the messages of one kind in one direction, and their bytes.
type meter struct {
	messages tally.Counter
	bytes    tally.Counter
}

func (m *meter) add(size int) {
	m.messages.Inc(1)
	m.bytes.Inc(int64(size))
}

// meters holds the meters of one direction, indexed by the byte that encodes the
// kind. This avoids a lookup by tags for each message.
type meters struct {
	scope  tally.Scope
	byKind [256]atomic.Pointer[meter]
}

func (s *meters) of(kind byte, m messenger.Message) *meter {
	if found := s.byKind[kind].Load(); found != nil {
		return found
	}
	scope := s.scope.Tagged(map[string]string{"kind": messenger.KindName(m)})
	created := &meter{messages: scope.Counter("messages"), bytes: scope.Counter("bytes")}
	s.byKind[kind].Store(created)
	return created
}

// metrics holds the metrics of one transport.
type metrics struct {
	in, out meters
	// links is the number of linked peers. It equals linked, less replaced and unlinked.
	links tally.Gauge
	// linked counts attached links. Those that replaced another one also count in
	// replaced.
	linked   tally.Counter
	replaced tally.Counter
	unlinked tally.Counter
	// refused counts accepted connections that were rejected, except for those of a
	// dialer that must not dial this process.
	refused tally.Counter
	// races counts the replacement connections dialed because a link was silent.
	races tally.Counter
	// overflows counts messages rejected because the queue of their link was full.
	overflows tally.Counter
	// handshakesRefused counts connections beyond MaxHandshakes, validated the dialers
	// that had to prove their address.
	handshakesRefused tally.Counter
	validated         tally.Counter
	undecodable       tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		links:     scope.Gauge("links"),
		linked:    scope.Counter("linked"),
		replaced:  scope.Counter("replaced"),
		unlinked:  scope.Counter("unlinked"),
		refused:   scope.Counter("refused"),
		races:     scope.Counter("races"),
		overflows: scope.Counter("overflows"),

		handshakesRefused: scope.Counter("handshakes_refused"),
		validated:         scope.Counter("handshakes_validated"),

		undecodable: scope.Counter("undecodable"),
	}
	m.in.scope = scope.Tagged(map[string]string{"direction": "in"})
	m.out.scope = scope.Tagged(map[string]string{"direction": "out"})
	return m
}
