package messenger

import "time"

// EndpointLoad is an agent's view of its endpoint.
type EndpointLoad struct {
	Service string `json:"service,omitempty"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Queued  int    `json:"queued,omitempty"`
	// Slowness is the mean logarithm of the run times at the endpoint over the
	// expected ones, from Runs tasks of all entries.
	Slowness float64  `json:"slowness,omitempty"`
	Runs     int      `json:"runs,omitempty"`
	Draining bool     `json:"draining,omitempty"`
	Labels   []string `json:"labels,omitempty"`
	// Capacity is what the endpoint has, and Taken what its tasks take of it,
	// queued ones included. An endpoint without capacity has slots only.
	Capacity Resources `json:"capacity,omitzero"`
	Taken    Resources `json:"taken,omitzero"`
}

// DomainState says whether tasks may start in a failure domain.
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
	// QueueLimit is how many tasks may wait at the agent beyond the running ones.
	QueueLimit int `json:"queue_limit"`
	// QueueShare is the share of the stated capacity that waiting tasks may take
	// together, if there is more than one. Zero sets no bound.
	QueueShare float64 `json:"queue_share,omitempty"`
	// SettingsLease is the age of the youngest confirmation beyond which nothing starts.
	SettingsLease time.Duration `json:"settings_lease"`
	// StartFreshness bounds the age of the report that a start echoes.
	StartFreshness time.Duration `json:"start_freshness"`
	// RecordHorizon is how long start records and tombstones are kept.
	RecordHorizon time.Duration `json:"record_horizon"`
	// OwnerLease is the age of the youngest report that an entry has echoed beyond
	// which the agent ends the entry's volatile tasks. Zero means never.
	OwnerLease time.Duration `json:"owner_lease,omitempty"`
}

// EntryAddress tells where an entry listens for links.
type EntryAddress struct {
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
	Address     string      `json:"address"`
}
