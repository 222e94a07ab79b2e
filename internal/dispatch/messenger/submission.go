package messenger

import "time"

// Kind is the kind of a submission.
type Kind string

// The kinds of submission.
const (
	KindJob     Kind = "job"
	KindRequest Kind = "request"
)

// Priority orders the tasks that wait for a slot.
type Priority int

// The priorities, least urgent first.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
)

// TaskSpec is the caller's description of one task.
type TaskSpec struct {
	// Payload is passed to the endpoint unchanged.
	Payload []byte `json:"payload,omitempty"`
	// Labels are the labels that the endpoint must have to run the task.
	Labels []string `json:"labels,omitempty"`
	// DeclaredRunTime is the caller's estimate of the run time. It may be inaccurate.
	DeclaredRunTime time.Duration `json:"declared_run_time,omitempty"`
	// Size is the amount of the endpoint's resources that the task needs. A task
	// without a size needs one slot.
	Size Resources `json:"size,omitzero"`
	// Position is the position of the task in the steps of its job.
	Position Position `json:"position,omitzero"`
}

// Position identifies a task by its step and its index in the step.
type Position struct {
	Step  int `json:"step,omitempty"`
	Index int `json:"index,omitempty"`
}

// MaxTasks is the maximum number of tasks of one submission. The settings may lower
// it, but not raise it.
const MaxTasks = 210

// Submission is a job or a request that an entry has admitted.
type Submission struct {
	Key        SubmissionKey `json:"key"`
	Kind       Kind          `json:"kind"`
	Team       string        `json:"team,omitempty"`
	Priority   Priority      `json:"priority"`
	Repeatable bool          `json:"repeatable,omitempty"`
	// Deadline is the time allowed from admission.
	Deadline time.Duration `json:"deadline"`
	// Digest is a digest of the body. It detects that an id is used again with another
	// body.
	Digest string     `json:"digest"`
	Tasks  []TaskSpec `json:"tasks"`
	// Queue is the name of the queue in the settings that admitted the submission.
	Queue string `json:"queue,omitempty"`
	// Volatile submissions are not stored: only callers that wait receive the outcome.
	// A task may run in several attempts, one after another, which never overlap.
	Volatile bool `json:"volatile,omitempty"`
	// MaxAttempts is the number of failed attempts after which a task of a volatile
	// submission has failed.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// After lists, for each step, the steps whose tasks must all succeed before its
	// own tasks start.
	After [][]int `json:"after,omitempty"`
}

// TaskState is the final state of one task.
type TaskState string

// The final states of a task.
const (
	// TaskSucceeded means the endpoint returned a result.
	TaskSucceeded TaskState = "succeeded"
	// TaskFailed means the task ran and the endpoint reported a failure.
	TaskFailed TaskState = "failed"
	// TaskNotRun means the task did not start and never will.
	TaskNotRun TaskState = "not_run"
	// TaskMayHaveRun means that there is no proof whether the task started.
	TaskMayHaveRun TaskState = "may_have_run"
	// TaskInterrupted means that the task started and was ended before it finished.
	// It is certain that the task no longer runs.
	TaskInterrupted TaskState = "interrupted"
)

// TaskOutcome is the final state of one task with its result or reason.
type TaskOutcome struct {
	State  TaskState `json:"state"`
	Result []byte    `json:"result,omitempty"`
	Reason string    `json:"reason,omitempty"`
}

// OutcomeStatus is whether a submission is complete or has failed. There is no other
// status.
type OutcomeStatus string

// The outcomes of a submission.
const (
	OutcomeComplete OutcomeStatus = "complete"
	OutcomeFailed   OutcomeStatus = "failed"
)

// Outcome is the final answer to a submission. It does not change after it was sent
// to a caller.
type Outcome struct {
	Key    SubmissionKey `json:"key"`
	Status OutcomeStatus `json:"status"`
	Digest string        `json:"digest,omitempty"`
	Reason string        `json:"reason,omitempty"`
	Tasks  []TaskOutcome `json:"tasks,omitempty"`
}
