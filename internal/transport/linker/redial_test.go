package linker

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quic-go/quic-go/testutils/simnet"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// The test models planned stops of one host after another, where each entry is down for
// longer than the first redial attempts of its agents. In the deployment lamis-ops, with
// hosts stopped two at a time, entries without any endpoint refused 230 callers in the
// three seconds after their restart.
const (
	downTime = 3 * time.Second
	// maxRelinkTime is the interval of the load balancer's probes, and half of the time
	// until the next entry is stopped.
	maxRelinkTime = 1500 * time.Millisecond
	restarts      = 8
)

// Guards against a restarted entry that its agents do not redial in time.
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
				t.Errorf("linked %v after the restart; want at most %v", took, maxRelinkTime)
			}
		}
		agent.stop()
		entry.stop()
	})
}
