package linker

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// countingHandler is a handler that closes done when the expected number of messages
// has arrived.
type countingHandler struct {
	*process
	left atomic.Int64
	done chan struct{}
}

func (c *countingHandler) Received(messenger.Incarnation, messenger.Message) {
	if c.left.Add(-1) == 0 {
		close(c.done)
	}
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchPair starts an agent and an entry with default intervals and one link. The
// entry only counts messages.
func benchPair(b *testing.B) (entry *countingHandler, agent *process) {
	b.Helper()
	authority := testAuthority(b)
	accepting := newProcess(b, authority, testHello(messenger.RoleEntry, "e1"), loopbackAny)
	entry = &countingHandler{process: accepting, done: make(chan struct{})}
	agent = newProcess(b, authority, testHello(messenger.RoleAgent, "w1"), "")
	accepting.Handler = entry
	for _, p := range []*process{accepting, agent} {
		p.ProbeInterval, p.SilentAfter = DefaultProbeInterval, DefaultSilentAfter
		p.start()
	}
	agent.SetTargets([]messenger.EntryAddress{entry.target()})
	agent.want(eventLinked, accepting)
	accepting.want(eventLinked, agent)
	return entry, agent
}

// BenchmarkMessages measures the messages per second on one link, and the CPU time per
// message of both ends together, for Start messages with a payload of 256 bytes. The
// sender keeps the queue at most half full.
func BenchmarkMessages(b *testing.B) {
	entry, agent := benchPair(b)
	entry.left.Store(int64(b.N))
	message := messenger.Start{
		Task:    messenger.TaskKey{Submission: messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: "0123456789"}},
		Payload: make([]byte, 256),
	}
	before := cpuTime(b)
	b.ResetTimer()
	for i := range b.N {
		for int64(i)-(int64(b.N)-entry.left.Load()) > maxQueuedMessages/2 {
			time.Sleep(50 * time.Microsecond)
		}
		if !agent.Send(entry.Hello.Incarnation, message) {
			b.Fatal("message not accepted")
		}
	}
	<-entry.done
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "messages/s")
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/message")
}

// BenchmarkIdleLink measures the UDP payload per second, of both directions together,
// on a link without messages other than pings. An operation is one probe interval.
func BenchmarkIdleLink(b *testing.B) {
	entry, agent := benchPair(b)
	conn := agent.linkTo(entry.Hello.Incarnation).wire.(quicWire).conn
	// In the first seconds, QUIC sends packets to discover the path MTU.
	time.Sleep(3 * time.Second)
	before := conn.ConnectionStats()
	cpu := cpuTime(b)
	b.ResetTimer()
	for range b.N {
		time.Sleep(DefaultProbeInterval)
	}
	b.StopTimer()
	after := conn.ConnectionStats()
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64(after.BytesSent-before.BytesSent+after.BytesReceived-before.BytesReceived)/seconds, "bytes/s")
	b.ReportMetric(float64(after.PacketsSent-before.PacketsSent+after.PacketsReceived-before.PacketsReceived)/seconds, "packets/s")
	b.ReportMetric(float64(cpuTime(b)-cpu)/seconds, "cpu-ns/s")
}
