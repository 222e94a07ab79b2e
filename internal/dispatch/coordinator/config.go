package coordinator

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// TickInterval is the time between two Tick events.
const TickInterval = 20 * time.Millisecond

// Config holds an entry's identity and the timing of its decisions. Defaults returns
// the values stated in the design document.
type Config struct {
	Name        string
	Incarnation messenger.Incarnation
	Address     string

	// StatusInterval is the time between status messages to agents and peers.
	StatusInterval time.Duration
	// SilentAfter is the time without a message from an agent after which no new
	// tasks are placed on the agent.
	SilentAfter time.Duration
	// GoneAfter is the time without a message from an agent after which the agent
	// counts as lost and its outstanding tasks are ended. It is far longer than a
	// link outage.
	GoneAfter time.Duration
	// RenewInterval is the time between renewals of this entry's row in the store.
	RenewInterval time.Duration
	// EntryLease is how long an entry row stays valid without a renewal. An entry
	// whose event loop stalls for longer must read its row again before it starts
	// further tasks.
	EntryLease time.Duration
	// PeerRowTimeout is the time without a renewal after which an entry is left out
	// of the directory sent to agents.
	PeerRowTimeout time.Duration
	// MaxStoreOutage is how long, after the last renewal, entries may confirm settings
	// and answer with witnessed outcomes without the store. After MaxStoreOutage, an
	// entry that joined during the outage may act without the entries that it has never
	// exchanged messages with.
	MaxStoreOutage time.Duration
	// StoreConfirms is true if only reads of the store confirm the settings, because
	// operators change them there without an entry.
	StoreConfirms bool
	// CollectTimeout bounds the wait for the agents' records in one round of a takeover.
	CollectTimeout time.Duration
	// OutcomeWriteTimeout is how long the write of an outcome row may take before
	// agents are asked to keep the outcome as witnesses.
	OutcomeWriteTimeout time.Duration
	// OutcomeRetention is how long settled submissions stay in memory.
	OutcomeRetention time.Duration
	// AnswerGrace is how long after a job's deadline the agents' answers are awaited.
	AnswerGrace time.Duration
	// DrainTimeout bounds the wait for admitted jobs in a graceful stop.
	DrainTimeout time.Duration
	// DrainGracePeriod is how long after the start of a graceful stop volatile submissions
	// are still admitted, because callers keep sending over open connections.
	DrainGracePeriod time.Duration
	// WaitingReportInterval times the number of peers is the minimum time between two
	// messages that report this entry's waiting tasks to the peers.
	WaitingReportInterval time.Duration
	// PeerLinks bounds the entries that this entry links to by its own choice; as many
	// others may choose it. 0 links to all entries, which is required if submissions are
	// stored: their owner must be reachable from every entry.
	PeerLinks int
	// RetryAfter is the delay advised to a caller whose volatile submission is refused.
	RetryAfter time.Duration
	// PlacementSpread is how much worse than the best endpoint a placement may be, in
	// run times at an endpoint of mean speed. Zero always chooses the best endpoint.
	PlacementSpread float64
	// TicketLifetime is how long a submission id issued by this entry may be used.
	TicketLifetime time.Duration

	// SettingsLease, StartFreshness and RecordRetention are sent to agents, which
	// enforce them.
	SettingsLease   time.Duration
	StartFreshness  time.Duration
	RecordRetention time.Duration
	// OwnerLease is how long agents keep running the volatile tasks of an entry without
	// receiving a message from that entry. OwnerLease plus the endpoint's own lease is
	// shorter than the time after which callers resubmit a job.
	OwnerLease time.Duration
}

// Defaults returns the configuration of an entry with the timing stated in the design
// document.
func Defaults(name string, incarnation messenger.Incarnation, address string) Config {
	return Config{
		Name:                  name,
		Incarnation:           incarnation,
		Address:               address,
		StatusInterval:        500 * time.Millisecond,
		SilentAfter:           1500 * time.Millisecond,
		GoneAfter:             10 * time.Second,
		RenewInterval:         time.Second,
		EntryLease:            3 * time.Second,
		PeerRowTimeout:        10 * time.Second,
		MaxStoreOutage:        5 * time.Minute,
		CollectTimeout:        5 * time.Second,
		OutcomeWriteTimeout:   time.Second,
		OutcomeRetention:      time.Minute,
		AnswerGrace:           time.Second,
		DrainTimeout:          20 * time.Second,
		TicketLifetime:        10 * time.Minute,
		SettingsLease:         2500 * time.Millisecond,
		StartFreshness:        3 * time.Second,
		RecordRetention:       10 * time.Minute,
		OwnerLease:            800 * time.Millisecond,
		RetryAfter:            time.Second,
		WaitingReportInterval: 10 * time.Millisecond,
	}
}
