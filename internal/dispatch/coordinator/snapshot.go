package coordinator

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Snapshot is a view of the state for the goroutines that handle traffic. It must not be
// modified once it is published.
type Snapshot struct {
	Incarnation messenger.Incarnation `json:"incarnation"`
	// LifeCycle is starting, active, suspended, draining or stopped.
	LifeCycle string `json:"life_cycle"`
	// Strained is true if the entry has too little processor time to handle its calls.
	Strained            bool      `json:"strained,omitempty"`
	SettingsVersion     uint64    `json:"settings_version"`
	SettingsConfirmedAt time.Time `json:"settings_confirmed_at"`
	// LeaseRenewedAt is when this entry last renewed its row in the table.
	LeaseRenewedAt time.Time `json:"lease_renewed_at"`
	// AcceptRefusal is the reason why this entry may not accept changes of the
	// settings; empty if it may.
	AcceptRefusal   string         `json:"accept_refusal,omitempty"`
	Tree            *resolver.Tree `json:"-"`
	Endpoints       []EndpointView `json:"endpoints"`
	Directory       []EntryRow     `json:"directory"`
	LiveSubmissions int            `json:"live_submissions"`
	WaitingTasks    int            `json:"waiting_tasks"`
	// LateTasks is the number of waiting tasks of late jobs. WaitingTasks includes them.
	LateTasks int `json:"late_tasks,omitempty"`
	SentTasks int `json:"sent_tasks"`
	// PendingByQueue counts, for each queue, the jobs of which no task has been sent.
	PendingByQueue map[string]int `json:"pending_by_queue,omitempty"`
	Counters       Counters       `json:"counters"`
}

// EndpointView is an entry's view of an endpoint.
type EndpointView struct {
	Name            string                 `json:"name"`
	Incarnation     messenger.Incarnation  `json:"incarnation"`
	Scope           resolver.Scope         `json:"scope"`
	Load            messenger.EndpointLoad `json:"load"`
	Outstanding     int                    `json:"outstanding"`
	State           string                 `json:"state"`
	SettingsVersion uint64                 `json:"settings_version"`
	// LastMessageAt is when the agent's last message arrived.
	LastMessageAt time.Time `json:"heard_at"`
}

// Counters counts events since the start of the incarnation.
type Counters struct {
	Submitted     uint64 `json:"submitted"`
	Complete      uint64 `json:"complete"`
	Failed        uint64 `json:"failed"`
	Refused       uint64 `json:"refused"`
	Starts        uint64 `json:"starts"`
	StartsAgain   uint64 `json:"starts_again"`
	RefusedStarts uint64 `json:"refused_starts"`
	Cancels       uint64 `json:"cancels"`
	Retries       uint64 `json:"retries"`
	Hedges        uint64 `json:"hedges"`
	// Overdue counts the runs that were ended because they took too long.
	Overdue uint64 `json:"overdue,omitempty"`
	// AdmittedLate counts the jobs that were admitted although they were expected to miss
	// their objective, AnsweredLate those of them that are complete, and RefusedLate those
	// that were refused from the backlog because their answer would have been useless.
	AdmittedLate uint64 `json:"admitted_late,omitempty"`
	AnsweredLate uint64 `json:"answered_late,omitempty"`
	RefusedLate  uint64 `json:"refused_late,omitempty"`
	Takeovers    uint64 `json:"takeovers"`
	Forwards     uint64 `json:"forwards"`
	Ejections    uint64 `json:"ejections"`
	WitnessCalls uint64 `json:"witness_calls"`
}
