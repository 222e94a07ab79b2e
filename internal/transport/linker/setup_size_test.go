package linker

import (
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

const (
	// startBudget is the traffic that the start of a fleet of 240 agents and 55 entries may
	// cause, in bytes, and startLinks the number of its links.
	startBudget = 30 << 20
	startLinks  = 240*8 + 55*14
	// pipeQueue is the number of datagrams that may be under way in a direction.
	pipeQueue = 256
)

// datagramPipe is one end of a lossless connection in memory. In a synctest bubble, a slow
// host does not let the timers of the handshake expire.
type datagramPipe struct {
	address net.Addr
	peer    *datagramPipe
	arrived chan []byte
	closed  chan struct{}
	once    sync.Once

	mu    sync.Mutex
	sizes []int
}

func newDatagramPipe() (a, b *datagramPipe) {
	end := func(port int) *datagramPipe {
		return &datagramPipe{
			address: &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port},
			arrived: make(chan []byte, pipeQueue), closed: make(chan struct{}),
		}
	}
	a, b = end(1), end(2)
	a.peer, b.peer = b, a
	return a, b
}

func (p *datagramPipe) ReadFrom(data []byte) (int, net.Addr, error) {
	select {
	case received := <-p.arrived:
		return copy(data, received), p.peer.address, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

func (p *datagramPipe) WriteTo(data []byte, _ net.Addr) (int, error) {
	p.mu.Lock()
	p.sizes = append(p.sizes, len(data))
	p.mu.Unlock()
	select {
	case p.peer.arrived <- append([]byte(nil), data...):
		return len(data), nil
	case <-p.closed:
		return 0, net.ErrClosed
	}
}

func (p *datagramPipe) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *datagramPipe) LocalAddr() net.Addr { return p.address }

// SetReadDeadline ends ReadFrom for good, which is what it is called for.
func (p *datagramPipe) SetReadDeadline(at time.Time) error {
	if at.IsZero() || at.After(time.Now()) {
		return nil
	}
	return p.Close()
}

func (p *datagramPipe) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (p *datagramPipe) SetWriteDeadline(time.Time) error { return nil }

// sent returns the sizes of the datagrams sent so far.
func (p *datagramPipe) sent() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]int(nil), p.sizes...)
}

// Guards against links whose set-up takes the bandwidth that the callers need. After a
// restart of all entries of lamis-ops-large, every link is set up at once, over links of
// hosts that carry as little as 20 Mbit/s.
func TestLinkSetupIsSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		authority := testAuthority(t)
		entrySocket, agentSocket := newDatagramPipe()
		entry := newProcess(t, authority, testHello(messenger.RoleEntry, "e1"), loopbackAny)
		entry.Socket = entrySocket
		entry.start()
		agent := newProcess(t, authority, testHello(messenger.RoleAgent, "w1"), "")
		agent.Socket = agentSocket
		agent.start()
		agent.SetTargets([]messenger.EntryAddress{{Address: entrySocket.address.String()}})
		agent.want(eventLinked, entry)
		time.Sleep(probingTime)
		total := 0
		sizes := append(entrySocket.sent(), agentSocket.sent()...)
		for _, size := range sizes {
			total += size
		}
		t.Logf("%d datagrams, %d bytes", len(sizes), total)
		if total > startBudget/startLinks {
			t.Errorf("the set-up of a link takes %d bytes, more than %d", total, startBudget/startLinks)
		}
	})
}
