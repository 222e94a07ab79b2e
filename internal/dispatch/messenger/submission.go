package messenger

import "time"

// Kind tells jobs from requests.
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

// TaskSpec is what a caller declares about one task.
type TaskSpec struct {
	// Payload is handed to the endpoint unchanged.
	Payload []byte `json:"payload,omitempty"`
	// Labels must all be offered by the endpoint that runs the task.
	Labels []string `json:"labels,omitempty"`
	// DeclaredRunTime is a hint; it may be far off.
	DeclaredRunTime time.Duration `json:"declared_run_time,omitempty"`
	// Size is what the task takes of its endpoint. Without it, a task takes a slot.
	Size Resources `json:"size,omitzero"`
	// Position is the place of the task in the steps of its job.
	Position Position `json:"position,omitzero"`
}

// Position names a task by its step and its index in the step.
type Position struct {
	Step  int `json:"step,omitempty"`
	Index int `json:"index,omitempty"`
}

// MaxTasks is the limit of tasks of one submission, whatever the settings say.
const MaxTasks = 210

// Submission is a job or a request as admitted by an entry.
type Submission struct {
	Key        SubmissionKey `json:"key"`
	Kind       Kind          `json:"kind"`
	Team       string        `json:"team,omitempty"`
	Priority   Priority      `json:"priority"`
	Repeatable bool          `json:"repeatable,omitempty"`
	// Deadline is counted from the moment of admission.
	Deadline time.Duration `json:"deadline"`
	// Digest identifies the body, so that another body under the same id is recognised.
	Digest string     `json:"digest"`
	Tasks  []TaskSpec `json:"tasks"`
	// Queue names the queue of the settings that the submission came through.
	Queue string `json:"queue,omitempty"`
	// Volatile submissions are not recorded: only the callers that wait learn the
	// outcome. Attempts of their tasks may follow each other and never overlap.
	Volatile bool `json:"volatile,omitempty"`
	// MaxAttempts is how often a task of a volatile submission may fail.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// After lists, for each step, the steps whose tasks must all succeed before.
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
	// TaskMayHaveRun means that nobody can prove whether the task started.
	TaskMayHaveRun TaskState = "may_have_run"
	// TaskInterrupted means that the task started and was ended before it was
	// done. It is proved that it no longer runs.
	TaskInterrupted TaskState = "interrupted"
)

// TaskOutcome is the final state of one task with its result or reason.
type TaskOutcome struct {
	State  TaskState `json:"state"`
	Result []byte    `json:"result,omitempty"`
	Reason string    `json:"reason,omitempty"`
}

// OutcomeStatus tells complete jobs from failed ones. There is no third status.
type OutcomeStatus string

// The outcomes of a submission.
const (
	OutcomeComplete OutcomeStatus = "complete"
	OutcomeFailed   OutcomeStatus = "failed"
)

// Outcome is the final answer to a submission. Once told, it never changes.
type Outcome struct {
	Key    SubmissionKey `json:"key"`
	Status OutcomeStatus `json:"status"`
	Digest string        `json:"digest,omitempty"`
	Reason string        `json:"reason,omitempty"`
	Tasks  []TaskOutcome `json:"tasks,omitempty"`
}
