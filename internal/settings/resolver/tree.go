package resolver

import "github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"

// Tree holds all settings that operators edit.
type Tree struct {
	Firms map[string]Firm `json:"firms"`
}

// Firm is the top level of the tree.
type Firm struct {
	Settings Overrides        `json:"settings"`
	Keys     []Key            `json:"keys,omitempty"`
	Teams    map[string]Team  `json:"teams,omitempty"`
	Places   map[string]Place `json:"places,omitempty"`
	// Queues are the named job queues of the firm, each for one service.
	Queues map[string]Queue `json:"queues,omitempty"`
}

// Queue defines where callers submit jobs and which options apply to these jobs.
type Queue struct {
	// Service names the endpoints that run the tasks.
	Service string `json:"service"`
	// Host and PathPrefix select the queue; the longest prefix wins.
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	// Priority is the priority of the queue's jobs.
	Priority messenger.Priority `json:"priority,omitempty"`
	// MaxAttempts is the number of failed attempts of a task that makes its job fail.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// StretchFactor and TargetLatency define the latency objective: StretchFactor
	// times the run time of the job's critical path, plus TargetLatency.
	StretchFactor float64  `json:"stretch_factor,omitempty"`
	TargetLatency Duration `json:"target_latency,omitempty"`
	// LateValue is the value of a late answer relative to one on time; nil means that of
	// the service.
	LateValue *float64 `json:"late_value,omitempty"`
	// Advised marks a queue whose steps each need the advice of another service.
	// Such queues are not supported.
	Advised bool `json:"advised,omitempty"`
	// Timeout bounds a call; 0 means the service's default deadline.
	Timeout Duration `json:"timeout,omitempty"`
}

// LateValueOf returns the late value of the queue's jobs, given the settings that apply
// to a submission to its service.
func (q Queue) LateValueOf(service Resolved) float64 {
	if q.LateValue != nil {
		return *q.LateValue
	}
	return service.LateValue
}

// Place is a site of a firm.
type Place struct {
	Settings       Overrides                `json:"settings"`
	FailureDomains map[string]FailureDomain `json:"failure_domains,omitempty"`
}

// FailureDomain is a part of a place that fails, and is taken out, as a whole.
type FailureDomain struct {
	Settings Overrides          `json:"settings"`
	Services map[string]Service `json:"services,omitempty"`
}

// Service declares that a service runs in a failure domain.
type Service struct {
	Settings Overrides `json:"settings"`
}

// KeyRole defines what an API key may do within its firm.
type KeyRole string

// The roles of an API key.
const (
	RoleCaller   KeyRole = "caller"
	RoleOperator KeyRole = "operator"
)

// Key is an API key. Only the SHA-256 of the secret is stored.
type Key struct {
	Name         string  `json:"name"`
	Role         KeyRole `json:"role"`
	Team         string  `json:"team,omitempty"`
	SecretSHA256 string  `json:"secret_sha256"`
}

// Team is a group of callers with a share of the firm's slots.
type Team struct {
	// Weight is the team's share of the slots relative to the other teams.
	Weight int `json:"weight"`
	// MaxRunningTasks bounds the team's tasks that have been sent to agents; each
	// entry applies an equal share, rounded up. 0 means no bound.
	MaxRunningTasks int `json:"max_running_tasks,omitempty"`
	// MaxWaitingTasks bounds the team's waiting tasks; each entry applies an equal
	// share, rounded up. 0 means no bound.
	MaxWaitingTasks int `json:"max_waiting_tasks,omitempty"`
}
