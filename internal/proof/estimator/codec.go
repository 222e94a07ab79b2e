package estimator

import (
	"fmt"
	"strings"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// sizedKind is a message kind whose size depends on its contents.
type sizedKind struct {
	name, per string
	sizes     []int
	build     func(size int) messenger.Message
}

// dataSizes are the measured payload and result sizes in bytes.
var dataSizes = []int{0, 256, 1 << 10, 4 << 10}

func sizedKinds() []sizedKind {
	counts := []int{4, 8, 16, 32}
	return []sizedKind{
		{"start", "payload byte", dataSizes, func(n int) messenger.Message {
			return messenger.Start{
				Task: taskKey(7), Owner: ownName, AgentIncarnation: processName("agent", 7), ReportSequence: 100_000,
				TimeLeft: 30 * time.Second, Priority: messenger.PriorityNormal, Payload: make([]byte, n),
			}
		}},
		{"finished", "result byte", dataSizes, func(n int) messenger.Message {
			return messenger.Finished{
				Task: taskKey(7), RunTime: 100 * time.Millisecond, Load: messenger.EndpointLoad{Slots: slots, Running: 5},
				Outcome: messenger.TaskOutcome{State: messenger.TaskSucceeded, Result: make([]byte, n)},
			}
		}},
		{"fenced_data", "result byte in each of 10 records", dataSizes, func(n int) messenger.Message { return fencedMessage(10, n) }},
		{"fenced", "record with a 256 B result", []int{0, 64, 128, 256}, func(n int) messenger.Message { return fencedMessage(n, payloadBytes) }},
		{"witness", "result byte in each of 10 tasks", dataSizes, func(n int) messenger.Message {
			return messenger.Witness{Owner: ownName, Outcome: outcome(1, 10, n)}
		}},
		{"forward", "payload byte in each of 10 tasks", dataSizes, func(n int) messenger.Message {
			return messenger.Forward{Call: 1000, Submission: newSubmission(1, 10, n)}
		}},
		{"forwarded", "result byte in each of 10 tasks", dataSizes, func(n int) messenger.Message {
			o := outcome(1, 10, n)
			return messenger.Forwarded{Call: 1000, Outcome: &o}
		}},
		{"status", "entry in the directory", counts, func(n int) messenger.Message { return statusMessage(n) }},
	}
}

func fencedMessage(records, result int) messenger.Fenced {
	m := messenger.Fenced{Owner: ownName, Last: true}
	for i := range records {
		m.Records = append(m.Records, messenger.Record{
			Task: taskKey(i), State: messenger.RecordFinished,
			Outcome: messenger.TaskOutcome{State: messenger.TaskSucceeded, Result: make([]byte, result)},
		})
	}
	return m
}

// statusMessage returns a status with a directory of the given number of entries.
func statusMessage(entries int) messenger.Status {
	m := messenger.Status{EchoSequence: 100_000, ConfirmedAge: 250 * time.Millisecond, SettingsVersion: 8400}
	for i := range entries {
		row := entryRow(i, 1)
		m.Directory = append(m.Directory, messenger.EntryAddress{Name: row.Name, Incarnation: row.Incarnation, Address: row.Address})
	}
	return m
}

// fixedKinds returns the messages whose size hardly varies.
func fixedKinds() []messenger.Message {
	load := messenger.EndpointLoad{Slots: slots, Running: 5}
	full := load
	full.Service = serviceName
	settings := &messenger.AgentSettings{
		Version: 8400, State: messenger.DomainIn, QueueLimit: 2,
		SettingsLease: 2500 * time.Millisecond, StartFreshness: 3 * time.Second, RecordRetention: 10 * time.Minute,
	}
	return []messenger.Message{
		messenger.Hello{Role: messenger.RoleAgent, Name: "agent-0007", Incarnation: processName("agent", 7), Firm: firmName, Place: "region_0", FailureDomain: "domain_0"},
		messenger.Welcome{Name: "entry-0007", Incarnation: processName("entry", 7)},
		messenger.Report{Sequence: 100_000, Load: full, SettingsVersion: 8400},
		messenger.Status{EchoSequence: 100_000, ConfirmedAge: 250 * time.Millisecond, SettingsVersion: 8400, Settings: settings},
		messenger.Refused{Task: taskKey(7), Reason: messenger.RefusedQueueFull, NeverStarted: true, Load: load},
		messenger.Cancel{Task: taskKey(7)},
		messenger.Cancelled{Task: taskKey(7), State: messenger.RecordTombstoned},
		messenger.Fence{Owner: ownName},
		messenger.Witnessed{Key: taskKey(7).Submission, Accepted: true},
		messenger.PeerStatus{Sequence: 100_000, EchoSequence: 99_999, SettingsVersion: 8400},
		messenger.Ping{},
	}
}

// codec measures bytes and CPU of Encode and Decode. Kinds of fixed size are
// measured for 1 to 8 messages, so that the slope is the cost of one.
func (s *Slopes) codec() error {
	for _, k := range sizedKinds() {
		if err := s.codecSlope("codec."+k.name, "message "+k.name, k.per, k.sizes, func(n int) []messenger.Message {
			return []messenger.Message{k.build(n)}
		}); err != nil {
			return err
		}
	}
	for _, m := range fixedKinds() {
		name := kindID(m)
		if err := s.codecSlope("codec."+name, "messages of kind "+name, "message", []int{1, 2, 4, 8}, func(n int) []messenger.Message {
			copies := make([]messenger.Message, n)
			for i := range copies {
				copies[i] = m
			}
			return copies
		}); err != nil {
			return err
		}
	}
	return nil
}

// kindID returns the name of a message kind in the slopes' IDs. The status that
// carries settings has another name than the one in sizedKinds.
func kindID(m messenger.Message) string {
	switch m.(type) {
	case messenger.Status:
		return "status_settings"
	case messenger.PeerStatus:
		return "peer_status"
	default:
		return strings.ToLower(messenger.KindName(m))
	}
}

func (s *Slopes) codecSlope(id, what, per string, sizes []int, build func(n int) []messenger.Message) error {
	bytes := Slope{ID: id + ".bytes", What: "encoded bytes of " + what, Unit: "bytes", Per: per}
	err := s.measure(bytes, sizes, func(n int) (float64, error) {
		total := 0
		for _, m := range build(n) {
			data, err := messenger.Encode(m)
			if err != nil {
				return 0, err
			}
			total += len(data)
		}
		return float64(total), nil
	})
	if err != nil {
		return err
	}
	cpu := Slope{ID: id + ".cpu", What: "CPU of Encode and Decode of " + what, Unit: "µs", Per: per}
	return s.measure(cpu, sizes, func(n int) (float64, error) {
		messages := build(n)
		var failed error
		spent := cpuPer(func(calls int) {
			for range calls {
				for _, m := range messages {
					if _, err := encodeAndDecode(m); err != nil {
						failed = fmt.Errorf("encode and decode %T: %w", m, err)
					}
				}
			}
		})
		return spent, failed
	})
}
