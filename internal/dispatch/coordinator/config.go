package coordinator

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// TickInterval is the time between the ticks that the edge sends.
const TickInterval = 20 * time.Millisecond

// Config holds the timing of an entry's decisions. Defaults returns the values
// that the design page states.
type Config struct {
	Name        string
	Incarnation messenger.Incarnation
	Address     string

	// StatusInterval is the time between status messages to agents and peers.
	StatusInterval time.Duration
	// SilentAfter is the time without a message after which an agent gets no new work.
	SilentAfter time.Duration
	// GoneAfter is the time without a message after which tasks sent to an agent
	// are given up. It is far longer than the outage of a link.
	GoneAfter time.Duration
	// RenewInterval is the time between renewals of the entry row.
	RenewInterval time.Duration
	// EntryLease is how long an entry row that is not renewed holds, and the
	// longest stall after which an entry may go on without reading its row.
	EntryLease time.Duration
	// PeerLapse is the time after which an entry whose row is not renewed is left
	// out of the directory for agents.
	PeerLapse time.Duration
	// OutageHorizon bounds the time without the store for which the entries may
	// confirm the settings and tell outcomes among themselves. After it, an entry
	// that has joined meanwhile may act without those that it never met.
	OutageHorizon time.Duration
	// CollectPatience bounds the wait for agents in a takeover.
	CollectPatience time.Duration
	// OutcomePatience is how long an outcome waits for the store before
	// witnesses are asked.
	OutcomePatience time.Duration
	// OutcomeCache is how long settled submissions stay in memory.
	OutcomeCache time.Duration
	// AnswerGrace is how long after the deadline an agent's answer is awaited.
	AnswerGrace time.Duration
	// DrainPatience bounds the wait for admitted jobs in a graceful stop.
	DrainPatience time.Duration
	// DrainLinger is how long a graceful stop goes on admitting volatile
	// submissions, which come over connections that callers still have open.
	DrainLinger time.Duration
	// WaitingInterval, times the number of peers, is the least time between two
	// messages that tell the peers what waits here.
	WaitingInterval time.Duration
	// RetryAfter is what a refused caller of a volatile submission is told to wait.
	RetryAfter time.Duration
	// PlacementSpread is how much worse than the best endpoint a placement may be, in
	// run times at an endpoint of mean speed. Zero chooses the best one.
	PlacementSpread float64
	// TicketLifetime is how long an id handed out by this entry may be used.
	TicketLifetime time.Duration

	// SettingsLease, StartFreshness and RecordHorizon are enforced by agents.
	SettingsLease  time.Duration
	StartFreshness time.Duration
	RecordHorizon  time.Duration
	// OwnerLease is how long agents go on with the volatile tasks of an entry that
	// they do not hear. Together with the endpoint's own lease it is below the
	// pause after which callers hand a job in again.
	OwnerLease time.Duration
}

// Defaults returns the timing of the design page for an entry.
func Defaults(name string, incarnation messenger.Incarnation, address string) Config {
	return Config{
		Name:            name,
		Incarnation:     incarnation,
		Address:         address,
		StatusInterval:  500 * time.Millisecond,
		SilentAfter:     1500 * time.Millisecond,
		GoneAfter:       10 * time.Second,
		RenewInterval:   time.Second,
		EntryLease:      3 * time.Second,
		PeerLapse:       10 * time.Second,
		OutageHorizon:   5 * time.Minute,
		CollectPatience: 5 * time.Second,
		OutcomePatience: time.Second,
		OutcomeCache:    time.Minute,
		AnswerGrace:     time.Second,
		DrainPatience:   20 * time.Second,
		TicketLifetime:  10 * time.Minute,
		SettingsLease:   2500 * time.Millisecond,
		StartFreshness:  3 * time.Second,
		RecordHorizon:   10 * time.Minute,
		OwnerLease:      800 * time.Millisecond,
		RetryAfter:      time.Second,
		WaitingInterval: 10 * time.Millisecond,
	}
}
