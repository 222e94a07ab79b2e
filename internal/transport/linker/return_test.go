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
	awayFor = 3 * time.Second
	// returnBound is a second and a half: a probe of the balancer, and half of the time
	// until the next entry is stopped.
	returnBound = 1500 * time.Millisecond
	returns     = 8
)

// Guards against an entry that has come back and goes unnoticed.
func TestReturningEntryIsDialedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network simnet.PerfectRouter
		authority := testAuthority(t)
		hello := testHello(messenger.RoleEntry, "e1")
		address := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1).To4(), Port: 1}
		enter := func() *process {
			hello.Incarnation += "+"
			entry := newProcess(t, authority, hello, address.String())
			entry.Socket = simnet.NewSimConn(address, &network)
			return entry.start()
		}
		agent := newProcess(t, authority, testHello(messenger.RoleAgent, "w1"), "")
		agent.Socket = simnet.NewSimConn(&net.UDPAddr{IP: address.IP, Port: 2}, &network)
		agent.DialTimeout, agent.MaxRedialDelay = time.Second, 500*time.Millisecond
		agent.start()

		entry := enter()
		agent.SetTargets([]messenger.EntryAddress{entry.bootstrap()})
		agent.want(eventLinked, entry)
		for range returns {
			entry.stop()
			agent.want(eventUnlinked, entry)
			time.Sleep(awayFor)
			back := time.Now()
			entry = enter()
			agent.want(eventLinked, entry)
			if took := time.Since(back); took > returnBound {
				t.Errorf("linked %v after the return, the bound is %v", took, returnBound)
			}
		}
		agent.stop()
		entry.stop()
	})
}
