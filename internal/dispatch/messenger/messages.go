package messenger

import "time"

// Message is a message between processes. Only types of this package implement it.
type Message interface{ message() }

// Role is the kind of daemon that sent a Hello.
type Role string

// The roles of a daemon.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Hello is the first message on a link. The dialing side sends it.
type Hello struct {
	Role          Role        `json:"role"`
	Name          string      `json:"name"`
	Incarnation   Incarnation `json:"incarnation"`
	Firm          string      `json:"firm,omitempty"`
	Place         string      `json:"place,omitempty"`
	FailureDomain string      `json:"failure_domain,omitempty"`
}

// Welcome answers a Hello and accepts the link.
type Welcome struct {
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
}

// Report is the message that an agent sends to each entry at intervals.
type Report struct {
	Sequence        uint64       `json:"sequence"`
	Load            EndpointLoad `json:"load"`
	SettingsVersion uint64       `json:"settings_version"`
	// Leaving announces that the agent will close its link to the entry once none of the
	// entry's tasks remains at the agent.
	Leaving bool `json:"leaving,omitempty"`
}

// Status is the message that an entry sends to each agent at intervals, and at once
// when the settings change.
type Status struct {
	// EchoSequence is the sequence of the last report received from the agent. The
	// agent derives the maximum age of this message from it by its own clock.
	EchoSequence uint64 `json:"echo_sequence"`
	// ConfirmedAge is the time between the entry's last confirmation of the settings
	// and the sending of this message.
	ConfirmedAge    time.Duration  `json:"confirmed_age"`
	SettingsVersion uint64         `json:"settings_version"`
	Settings        *AgentSettings `json:"settings,omitempty"`
	Directory       []EntryAddress `json:"directory,omitempty"`
}

// Start requests an agent to run a task. It is idempotent.
type Start struct {
	Task TaskKey `json:"task"`
	// Attempt is incremented when the task is placed again: after proof that the
	// previous attempt did not start, or to retry a repeatable request.
	Attempt          int         `json:"attempt"`
	Owner            Incarnation `json:"owner"`
	AgentIncarnation Incarnation `json:"agent_incarnation"`
	// ReportSequence is the sequence of the agent's last report when the start was first
	// sent. The agent derives the maximum age of the start from it. A start that is sent
	// again repeats it.
	ReportSequence uint64        `json:"report_sequence"`
	TimeLeft       time.Duration `json:"time_left"`
	Priority       Priority      `json:"priority"`
	Repeatable     bool          `json:"repeatable,omitempty"`
	Payload        []byte        `json:"payload,omitempty"`
	// ExpectedRunTime is the entry's estimate of the run time on an endpoint of mean
	// speed.
	ExpectedRunTime time.Duration `json:"expected_run_time,omitempty"`
	Volatile        bool          `json:"volatile,omitempty"`
	Size            Resources     `json:"size,omitzero"`
	Position        Position      `json:"position,omitzero"`
	// DespiteSuspicion is true if the entry knows that the endpoint is suspect and uses it
	// because too few others remain.
	DespiteSuspicion bool `json:"despite_suspicion,omitempty"`
	// NoQueue requests a refusal instead of a place in the agent's queue: the entry knows
	// other endpoints with room.
	NoQueue bool `json:"no_queue,omitempty"`
}

// RefusalReason is the reason why an agent did not start a task.
type RefusalReason string

// The reasons of a Refused message.
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
	// RefusedLeaseLost: the last report that the owner echoed is older than the
	// owner's lease.
	RefusedLeaseLost RefusalReason = "owner_lease_lost"
	// RefusedByEndpoint: the endpoint did not accept the task.
	RefusedByEndpoint RefusalReason = "endpoint_refused"
	// RefusedSuspect: the endpoint is suspect, and the task is no probe.
	RefusedSuspect RefusalReason = "endpoint_suspect"
)

// Refused reports to an entry that a start was refused. If NeverStarted is true, it is proven
// that the agent has not started the attempt. Otherwise the attempt may have run and its
// record may have expired. In both cases the attempt does not run, and unless the agent has a
// record of another attempt or of another owner's start of the task, it has recorded a
// tombstone, so the attempt can't start later either.
type Refused struct {
	Task         TaskKey       `json:"task"`
	Attempt      int           `json:"attempt"`
	Reason       RefusalReason `json:"reason"`
	NeverStarted bool          `json:"never_started"`
	Load         EndpointLoad  `json:"load"`
}

// Finished reports the outcome of a task that ran.
type Finished struct {
	Task    TaskKey       `json:"task"`
	Attempt int           `json:"attempt"`
	Outcome TaskOutcome   `json:"outcome"`
	RunTime time.Duration `json:"run_time"`
	Load    EndpointLoad  `json:"load"`
}

// Cancel requests an agent not to start a task, and to end it if it is volatile and
// already runs.
type Cancel struct {
	Task    TaskKey `json:"task"`
	Attempt int     `json:"attempt"`
	// ReportSequence is that of the attempt's start.
	ReportSequence uint64 `json:"report_sequence,omitempty"`
	Volatile       bool   `json:"volatile,omitempty"`
}

// RecordState is the state of an attempt of a task at an agent.
type RecordState string

// The states of a start record.
const (
	RecordQueued     RecordState = "queued"
	RecordRunning    RecordState = "running"
	RecordFinished   RecordState = "finished"
	RecordTombstoned RecordState = "tombstoned"
)

// Cancelled answers a Cancel. With the state RecordTombstoned the attempt does not run and
// never starts from now on.
type Cancelled struct {
	Task    TaskKey     `json:"task"`
	Attempt int         `json:"attempt"`
	State   RecordState `json:"state"`
	// NeverStarted proves that a tombstoned attempt has not started before either.
	NeverStarted bool `json:"never_started,omitempty"`
}

// Fence notifies an agent that an entry incarnation was replaced. The agent refuses
// all later starts of that incarnation and returns its records of the listed
// submissions.
type Fence struct {
	Owner Incarnation `json:"owner"`
	// Round distinguishes the answers to successive fences of one owner.
	Round int `json:"round"`
	// Submissions lists the submissions whose records are returned. An agent may hold
	// millions of records of an owner, few of which are ever needed.
	Submissions []SubmissionKey `json:"submissions,omitempty"`
}

// Record is an agent's record of an attempt, as sent to the entry that fences the
// owner.
type Record struct {
	Task    TaskKey     `json:"task"`
	Attempt int         `json:"attempt"`
	State   RecordState `json:"state"`
	Outcome TaskOutcome `json:"outcome"`
	// StoppedByFence is true if the tombstone was created by the fence of the owner and
	// the attempt has certainly not started before. Such a tombstone proves that the task
	// never starts. After any other tombstone the owner may have placed the task on another
	// agent.
	StoppedByFence bool `json:"stopped_by_fence,omitempty"`
}

// Fenced answers a Fence. A long answer is split into several messages, and Last is
// true only on the last one.
type Fenced struct {
	Owner     Incarnation `json:"owner"`
	Round     int         `json:"round"`
	Records   []Record    `json:"records,omitempty"`
	Witnessed []Outcome   `json:"witnessed,omitempty"`
	Last      bool        `json:"last"`
}

// Witness requests an agent to keep an outcome while the store does not respond.
type Witness struct {
	Owner   Incarnation `json:"owner"`
	Outcome Outcome     `json:"outcome"`
}

// Witnessed answers a Witness. Accepted is false if the owner is fenced at the agent.
type Witnessed struct {
	Key      SubmissionKey `json:"key"`
	Accepted bool          `json:"accepted"`
}

// PeerStatus is the message that entries send to each other at intervals.
type PeerStatus struct {
	Sequence        uint64 `json:"sequence"`
	EchoSequence    uint64 `json:"echo_sequence"`
	SettingsVersion uint64 `json:"settings_version"`
	// StoreAge is the time since the store last responded to the sender.
	StoreAge time.Duration `json:"store_age"`
	// Waiting lists the most urgent waiting job of each class, which are the tasks
	// that need the same service and labels.
	Waiting []WaitingJob `json:"waiting,omitempty"`
}

// WaitingJob describes the most urgent job of one class that waits for slots at an
// entry.
type WaitingJob struct {
	Firm    string   `json:"firm"`
	Service string   `json:"service"`
	Labels  []string `json:"labels,omitempty"`
	// Priority is the priority after ageing.
	Priority Priority `json:"priority"`
	// Tasks is the number of the job's tasks that wait.
	Tasks int `json:"tasks"`
}

// Forward passes a submission to its owner. If Submission has no tasks, it requests
// the outcome of a known submission from the owner.
type Forward struct {
	Call       uint64     `json:"call"`
	Submission Submission `json:"submission"`
	Cancel     bool       `json:"cancel,omitempty"`
	// Prefix makes Cancel apply to all submissions whose ids start with the id given.
	Prefix bool `json:"prefix,omitempty"`
}

// Forwarded answers a Forward. If Outcome is nil, Refusal holds the reason.
type Forwarded struct {
	Call    uint64   `json:"call"`
	Outcome *Outcome `json:"outcome,omitempty"`
	Refusal *Refusal `json:"refusal,omitempty"`
	// Cancelled is the number of submissions that a forwarded cancel applied to.
	Cancelled int `json:"cancelled,omitempty"`
}

// Ping is the keep-alive message of an otherwise idle link.
type Ping struct {
	// Padding makes the packet large enough to be answered with a stateless reset by a
	// restarted peer, which does not answer the smallest packets.
	Padding []byte `json:"padding,omitempty"`
}

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
