// Package translator defines the JSON bodies of the HTTP API and converts them to and from
// the types of messenger. The HTTP server and the Go client share it.
package translator

import (
	"encoding/json"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// ReasonHeader carries the operator's reason for a settings change.
const ReasonHeader = "Burdockrudder-Reason"

// Task is one task of a job. The payload is required and may be any JSON value, including
// null.
type Task struct {
	Payload         json.RawMessage   `json:"payload,omitempty"`
	Labels          []string          `json:"labels,omitempty"`
	DeclaredRunTime resolver.Duration `json:"declared_run_time,omitzero"`
}

// Options are the fields that jobs and requests share.
type Options struct {
	ID       string            `json:"id,omitempty"`
	Deadline resolver.Duration `json:"deadline,omitzero"`
	// Priority is high, normal or low; empty means normal.
	Priority string `json:"priority,omitempty"`
	// Wait makes the server respond only when the outcome is known; nil means true.
	Wait *bool `json:"wait,omitempty"`
}

// Job is the body of a job submission.
type Job struct {
	Options
	Tasks []Task `json:"tasks"`
}

// Request is the body of a request submission.
type Request struct {
	Options
	Task
	Repeatable bool `json:"repeatable,omitempty"`
}

// The values of Outcome.Status.
const (
	StatusComplete   = string(messenger.OutcomeComplete)
	StatusFailed     = string(messenger.OutcomeFailed)
	StatusInProgress = "in_progress"
)

// TaskResult is the final state of one task.
type TaskResult struct {
	State  messenger.TaskState `json:"state"`
	Result json.RawMessage     `json:"result,omitempty"`
	// ResultBase64 holds a result that is not JSON.
	ResultBase64 []byte `json:"result_base64,omitempty"`
	Reason       string `json:"reason,omitempty"`
}

// Outcome is the response to a submission or a query.
type Outcome struct {
	ID     string       `json:"id"`
	Status string       `json:"status"`
	Reason string       `json:"reason,omitempty"`
	Tasks  []TaskResult `json:"tasks,omitempty"`
}

// NewOutcome converts the final outcome of a submission to a response body.
func NewOutcome(o messenger.Outcome) Outcome {
	body := Outcome{ID: o.Key.ID, Status: string(o.Status), Reason: o.Reason}
	for _, task := range o.Tasks {
		result := TaskResult{State: task.State, Reason: task.Reason}
		if json.Valid(task.Result) {
			result.Result = task.Result
		} else {
			result.ResultBase64 = task.Result
		}
		body.Tasks = append(body.Tasks, result)
	}
	return body
}

// CancelPrefix is the body of a cancellation by id prefix.
type CancelPrefix struct {
	Prefix string `json:"prefix"`
}

// Cancelled is the response to a cancellation.
type Cancelled struct {
	Cancelled int `json:"cancelled"`
}

// TicketCount is the body of a request for tickets.
type TicketCount struct {
	Count int `json:"count"`
}

// Tickets is the response to a request for tickets.
type Tickets struct {
	IDs []string `json:"ids"`
}

// Settings is a version of the settings tree, limited to the firms that the key may see.
type Settings struct {
	Version uint64        `json:"version"`
	Tree    resolver.Tree `json:"tree"`
}

// SettingsChange is one accepted settings change. In a history list, Tree is absent.
type SettingsChange struct {
	Version uint64         `json:"version"`
	Author  string         `json:"author,omitempty"`
	Reason  string         `json:"reason,omitempty"`
	Time    time.Time      `json:"time"`
	Tree    *resolver.Tree `json:"tree,omitempty"`
}

// History lists accepted settings changes, newest first.
type History struct {
	Changes []SettingsChange `json:"changes"`
}

// Finding is one error in a settings text.
type Finding struct {
	// Level is the level of the tree: firm, place, failure_domain or service.
	Level   string `json:"level"`
	Path    string `json:"path"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// Findings is the response to a validation. Settings without findings are valid.
type Findings struct {
	Findings []Finding `json:"findings"`
}

// DomainChange is the body of take-out and bring-back.
type DomainChange struct {
	Reason string `json:"reason"`
}

// DomainChanged is the response to take-out and bring-back.
type DomainChanged struct {
	Version uint64                `json:"version"`
	State   messenger.DomainState `json:"state"`
}

// Domain is a failure domain with its state and endpoints.
type Domain struct {
	Name      string                     `json:"name"`
	State     messenger.DomainState      `json:"state"`
	Endpoints []coordinator.EndpointView `json:"endpoints"`
}

// Domains lists the failure domains of a place.
type Domains struct {
	Version uint64   `json:"version"`
	Domains []Domain `json:"failure_domains"`
}

// Endpoints lists the endpoints of the firms that the key may see.
type Endpoints struct {
	Endpoints []coordinator.EndpointView `json:"endpoints"`
}

// Status is the state of the entry that handles the request.
type Status struct {
	Incarnation         messenger.Incarnation  `json:"incarnation"`
	LifeCycle           string                 `json:"life_cycle"`
	SettingsVersion     uint64                 `json:"settings_version"`
	SettingsConfirmedAt time.Time              `json:"settings_confirmed_at"`
	LiveSubmissions     int                    `json:"live_submissions"`
	WaitingTasks        int                    `json:"waiting_tasks"`
	SentTasks           int                    `json:"sent_tasks"`
	Directory           []coordinator.EntryRow `json:"directory"`
	Counters            coordinator.Counters   `json:"counters"`
}
