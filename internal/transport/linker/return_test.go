package linker

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quic-go/quic-go/testutils/simnet"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Pattern: planned stops of hosts in turn. Each entry is away for longer than its
// agents' first attempts to dial it (lamis-ops, hosts stopped two at a time: 230 callers
// refused in the three seconds after the entries were back, for want of any endpoint).
const (
	downTime = 3 * time.Second
	// maxRelinkTime is a second and a half: a probe of the balancer, and half of the time
	// until the next entry is stopped.
	maxRelinkTime = 1500 * time.Millisecond
	restarts      = 8
)

// Guards against an entry that has come back and goes unnoticed.
func TestRestartedEntryIsRedialedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network simnet.PerfectRouter
		authority := testAuthority(t)
		hello := testHello(messenger.RoleEntry, "e1")
		address := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1).To4(), Port: 1}
		startEntry := func() *process {
			hello.Incarnation += "+"
			entry := newProcess(t, authority, hello, address.String())
			entry.Socket = simnet.NewSimConn(address, &network)
			return entry.start()
		}
		agent := newProcess(t, authority, testHello(messenger.RoleAgent, "w1"), "")
		agent.Socket = simnet.NewSimConn(&net.UDPAddr{IP: address.IP, Port: 2}, &network)
		agent.DialTimeout, agent.MaxRedialDelay = time.Second, 500*time.Millisecond
		agent.start()

		entry := startEntry()
		agent.SetTargets([]messenger.EntryAddress{entry.bootstrap()})
		agent.want(eventLinked, entry)
		for range restarts {
			entry.stop()
			agent.want(eventUnlinked, entry)
			time.Sleep(downTime)
			restartedAt := time.Now()
			entry = startEntry()
			agent.want(eventLinked, entry)
			if took := time.Since(restartedAt); took > maxRelinkTime {
				t.Errorf("linked %v after the return, the bound is %v", took, maxRelinkTime)
			}
		}
		agent.stop()
		entry.stop()
	})
}
