package messenger

import "time"

// Message is sealed: only the types of this package implement it.
type Message interface{ message() }

// Role tells which daemon sent a hello.
type Role string

// The roles of a daemon.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Hello opens a link; the dialer sends it first.
type Hello struct {
	Role          Role        `json:"role"`
	Name          string      `json:"name"`
	Incarnation   Incarnation `json:"incarnation"`
	Firm          string      `json:"firm,omitempty"`
	Place         string      `json:"place,omitempty"`
	FailureDomain string      `json:"failure_domain,omitempty"`
}

// Welcome accepts a link.
type Welcome struct {
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
}

// Report is an agent's periodic message to each entry.
type Report struct {
	Sequence        uint64       `json:"sequence"`
	Load            EndpointLoad `json:"load"`
	SettingsVersion uint64       `json:"settings_version"`
}

// Status is an entry's periodic message to each agent. It is also sent at once
// when the settings change.
type Status struct {
	// EchoSequence is the sequence of the agent's last report. It lets the agent
	// bound the age of this message by its own clock.
	EchoSequence uint64 `json:"echo_sequence"`
	// ConfirmedAge is the age of the entry's confirmation of the settings when
	// the status was sent.
	ConfirmedAge    time.Duration  `json:"confirmed_age"`
	SettingsVersion uint64         `json:"settings_version"`
	Settings        *AgentSettings `json:"settings,omitempty"`
	Directory       []EntryAddress `json:"directory,omitempty"`
}

// Start asks an agent to run a task. Sending it again is harmless.
type Start struct {
	Task TaskKey `json:"task"`
	// Attempt grows each time the task is placed again after proof that the
	// earlier attempt did not start, or for a retry of a repeatable request.
	Attempt          int           `json:"attempt"`
	Owner            Incarnation   `json:"owner"`
	AgentIncarnation Incarnation   `json:"agent_incarnation"`
	ReportSequence   uint64        `json:"report_sequence"`
	TimeLeft         time.Duration `json:"time_left"`
	Priority         Priority      `json:"priority"`
	Repeatable       bool          `json:"repeatable,omitempty"`
	Payload          []byte        `json:"payload,omitempty"`
	// ExpectedRunTime is what the entry expects on an endpoint of mean speed.
	ExpectedRunTime time.Duration `json:"expected_run_time,omitempty"`
	Volatile        bool          `json:"volatile,omitempty"`
	Size            Resources     `json:"size,omitzero"`
	Position        Position      `json:"position,omitzero"`
}

// RefusalReason says why an agent did not start a task.
type RefusalReason string

// The reasons of an agent's refusal.
const (
	RefusedQueueFull   RefusalReason = "queue_full"
	RefusedDraining    RefusalReason = "draining"
	RefusedDomainOut   RefusalReason = "failure_domain_out"
	RefusedUnconfirmed RefusalReason = "settings_unconfirmed"
	RefusedStale       RefusalReason = "stale_start"
	RefusedFenced      RefusalReason = "owner_fenced"
	RefusedIncarnation RefusalReason = "other_agent_incarnation"
	RefusedTombstone   RefusalReason = "tombstoned"
	RefusedStarted     RefusalReason = "already_started"
	RefusedExpired     RefusalReason = "deadline_passed"
	RefusedNoEndpoint  RefusalReason = "no_endpoint"
	// RefusedLeaseLost: the owner has not been heard within its lease.
	RefusedLeaseLost RefusalReason = "owner_lease_lost"
	// RefusedByEndpoint: the endpoint itself did not take the task.
	RefusedByEndpoint RefusalReason = "endpoint_refused"
)

// Refused tells an entry that this attempt was not started. With NeverStarted
// it is proof: the agent holds a tombstone for the attempt.
type Refused struct {
	Task         TaskKey       `json:"task"`
	Attempt      int           `json:"attempt"`
	Reason       RefusalReason `json:"reason"`
	NeverStarted bool          `json:"never_started"`
	Load         EndpointLoad  `json:"load"`
}

// Finished carries the result of a task that ran.
type Finished struct {
	Task    TaskKey       `json:"task"`
	Attempt int           `json:"attempt"`
	Outcome TaskOutcome   `json:"outcome"`
	RunTime time.Duration `json:"run_time"`
	Load    EndpointLoad  `json:"load"`
}

// Cancel asks an agent not to start a task, and to end a volatile one that runs.
type Cancel struct {
	Task    TaskKey `json:"task"`
	Attempt int     `json:"attempt"`
}

// RecordState is what an agent knows about an attempt of a task.
type RecordState string

// The states of a start record.
const (
	RecordQueued     RecordState = "queued"
	RecordRunning    RecordState = "running"
	RecordFinished   RecordState = "finished"
	RecordTombstoned RecordState = "tombstoned"
)

// Cancelled answers a cancel. Tombstoned is proof that the attempt never starts.
type Cancelled struct {
	Task    TaskKey     `json:"task"`
	Attempt int         `json:"attempt"`
	State   RecordState `json:"state"`
}

// Fence tells an agent that an entry incarnation was replaced. The agent
// refuses its starts from then on and returns what it holds of some submissions.
type Fence struct {
	Owner Incarnation `json:"owner"`
	// Round tells the answers to several fences of one owner apart.
	Round int `json:"round"`
	// Submissions are those whose records are returned. An agent may hold
	// millions of records of an owner, of which few are ever asked for.
	Submissions []SubmissionKey `json:"submissions,omitempty"`
}

// Record is one start record, as returned to the entry that fences its owner.
type Record struct {
	Task    TaskKey     `json:"task"`
	Attempt int         `json:"attempt"`
	State   RecordState `json:"state"`
	Outcome TaskOutcome `json:"outcome"`
	// StoppedByFence is true of a tombstone that the fence of the owner left. It
	// proves that the task never starts. The owner may have placed the task
	// elsewhere after any other tombstone.
	StoppedByFence bool `json:"stopped_by_fence,omitempty"`
}

// Fenced answers a fence. Last is false on all but the last of several parts.
type Fenced struct {
	Owner     Incarnation `json:"owner"`
	Round     int         `json:"round"`
	Records   []Record    `json:"records,omitempty"`
	Witnessed []Outcome   `json:"witnessed,omitempty"`
	Last      bool        `json:"last"`
}

// Witness asks an agent to keep an outcome while the store does not answer.
type Witness struct {
	Owner   Incarnation `json:"owner"`
	Outcome Outcome     `json:"outcome"`
}

// Witnessed answers a witness. Accepted is false if the owner is fenced there.
type Witnessed struct {
	Key      SubmissionKey `json:"key"`
	Accepted bool          `json:"accepted"`
}

// PeerStatus is the periodic message between entries.
type PeerStatus struct {
	Sequence        uint64 `json:"sequence"`
	EchoSequence    uint64 `json:"echo_sequence"`
	SettingsVersion uint64 `json:"settings_version"`
	// StoreAge is how long the store has not answered the sender.
	StoreAge time.Duration `json:"store_age"`
	// Waiting lists the most urgent waiting job of each class of tasks.
	Waiting []Waiting `json:"waiting,omitempty"`
}

// Waiting is the most urgent job that waits for slots at an entry, among the
// tasks that need the same service and labels.
type Waiting struct {
	Firm    string   `json:"firm"`
	Service string   `json:"service"`
	Labels  []string `json:"labels,omitempty"`
	// Priority includes ageing.
	Priority Priority `json:"priority"`
	// Tasks is how many tasks of the job wait.
	Tasks int `json:"tasks"`
}

// Forward passes a submission to its owner, or asks the owner about it when
// Submission has no tasks.
type Forward struct {
	Call       uint64     `json:"call"`
	Submission Submission `json:"submission"`
	Cancel     bool       `json:"cancel,omitempty"`
	// Prefix makes a cancel apply to all ids that start with the submission's id.
	Prefix bool `json:"prefix,omitempty"`
}

// Forwarded answers a forward. Outcome is nil if the owner gave no outcome;
// Refusal then holds the reason.
type Forwarded struct {
	Call    uint64   `json:"call"`
	Outcome *Outcome `json:"outcome,omitempty"`
	Refusal *Refusal `json:"refusal,omitempty"`
	// Cancelled counts the submissions that a forwarded cancel found.
	Cancelled int `json:"cancelled,omitempty"`
}

// Ping probes a link; a link that is otherwise idle carries one.
type Ping struct{}

func (Hello) message()      {}
func (Welcome) message()    {}
func (Report) message()     {}
func (Status) message()     {}
func (Start) message()      {}
func (Refused) message()    {}
func (Finished) message()   {}
func (Cancel) message()     {}
func (Cancelled) message()  {}
func (Fence) message()      {}
func (Fenced) message()     {}
func (Witness) message()    {}
func (Witnessed) message()  {}
func (PeerStatus) message() {}
func (Forward) message()    {}
func (Forwarded) message()  {}
func (Ping) message()       {}
