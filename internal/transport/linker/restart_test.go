package linker

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/transport/authenticator"
)

// crashableSocket drops everything that is sent after crashed is set, so that the
// process stops without notifying its peers that it closes the connections.
type crashableSocket struct {
	net.PacketConn
	crashed atomic.Bool
}

func (s *crashableSocket) WriteTo(data []byte, to net.Addr) (int, error) {
	if s.crashed.Load() {
		return len(data), nil
	}
	return s.PacketConn.WriteTo(data, to)
}

// Guards against agents that use their old connections after an entry has crashed and
// restarted at the same address. Until the agents detect the silence, the restarted
// entry has no endpoints and refuses its callers. The stateless reset prevents this.
func TestRestartedEntryEndsOldConnections(t *testing.T) {
	authority := testAuthority(t)
	hello := testHello(messenger.RoleEntry, "e1")
	config := testTLS(t, authority, hello)
	secret, err := authenticator.ResetSecret(config)
	if err != nil {
		t.Fatal(err)
	}
	bound, err := net.ListenPacket("udp", loopbackAny)
	if err != nil {
		t.Fatal(err)
	}
	socket := &crashableSocket{PacketConn: bound}
	entry := newProcess(t, authority, hello, loopbackAny)
	entry.Socket, entry.TLS, entry.ResetSecret = socket, config, secret
	entry.start()
	// An agent of newProcess never reaches SilentAfter, so only the reset ends the link.
	agent := newProcess(t, authority, testHello(messenger.RoleAgent, "w1"), "").start()
	agent.SetTargets([]messenger.EntryAddress{entry.bootstrap()})
	agent.want(eventLinked, entry)

	address := entry.Address()
	socket.crashed.Store(true)
	entry.stop()
	hello.Incarnation += "later"
	restarted := newProcess(t, authority, hello, address)
	restarted.TLS, restarted.ResetSecret = config, secret
	restarted.start()

	agent.waitLog("stateless reset")
	agent.want(eventUnlinked, entry)
	agent.want(eventLinked, restarted)
}
