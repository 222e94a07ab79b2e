package messenger

import "time"

// EndpointLoad is the load of an endpoint as its agent measures it.
type EndpointLoad struct {
	Service string `json:"service,omitempty"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Queued  int    `json:"queued,omitempty"`
	// Slowness is a moving average of ln(run time / expected run time) over the
	// tasks of all entries. Runs is the number of tasks that it was computed from.
	Slowness float64  `json:"slowness,omitempty"`
	Runs     int      `json:"runs,omitempty"`
	Draining bool     `json:"draining,omitempty"`
	Labels   []string `json:"labels,omitempty"`
	// Capacity is the total of the endpoint's resources. Taken is the part that its
	// running and queued tasks reserve. With a zero Capacity, only the slots limit
	// the number of tasks.
	Capacity Resources `json:"capacity,omitzero"`
	Taken    Resources `json:"taken,omitzero"`
	// Suspect is true if the agent refuses tasks because too many have failed at the
	// endpoint. Probe is true if the entry that receives the load may place one task there
	// nevertheless.
	Suspect bool `json:"suspect,omitempty"`
	Probe   bool `json:"probe,omitempty"`
}

// DomainState is whether tasks may start in a failure domain.
type DomainState string

// The states of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// AgentSettings are the resolved settings that an agent enforces.
type AgentSettings struct {
	Version uint64      `json:"version"`
	State   DomainState `json:"state"`
	// QueueLimit is the maximum number of tasks that wait at the agent.
	QueueLimit int `json:"queue_limit"`
	// QueueShare is the fraction of the endpoint's capacity that the waiting tasks
	// may need in total. A single waiting task is always accepted. Zero means no limit.
	QueueShare float64 `json:"queue_share,omitempty"`
	// SettingsLease is the maximum age of the latest confirmation of the settings.
	// Once it is exceeded, the agent starts no tasks.
	SettingsLease time.Duration `json:"settings_lease"`
	// StartFreshness is the maximum age of the report whose sequence a Start echoes.
	StartFreshness time.Duration `json:"start_freshness"`
	// RecordRetention is how long start records and tombstones are kept.
	RecordRetention time.Duration `json:"record_horizon"`
	// OwnerLease is the maximum age of the latest report that an entry has echoed.
	// Once it is exceeded, the agent ends the entry's volatile tasks. Zero means
	// never.
	OwnerLease time.Duration `json:"owner_lease,omitempty"`
	// SuspectAfter is the number of distinct submissions that must fail in a row for the
	// endpoint to be suspect. Zero means that it never is.
	SuspectAfter int `json:"suspect_after,omitempty"`
}

// EntryAddress is the address at which an entry listens for links.
type EntryAddress struct {
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
	Address     string      `json:"address"`
}
