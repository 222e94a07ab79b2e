package resolver

// Tree is the whole of the operators' settings.
type Tree struct {
	Firms map[string]Firm `json:"firms"`
}

// Firm is the top level: its keys, its teams, its places.
type Firm struct {
	Settings Overrides        `json:"settings"`
	Keys     []Key            `json:"keys,omitempty"`
	Teams    map[string]Team  `json:"teams,omitempty"`
	Places   map[string]Place `json:"places,omitempty"`
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

// KeyRole says what an API key may do within its firm.
type KeyRole string

// The roles of an API key.
const (
	RoleCaller   KeyRole = "caller"
	RoleOperator KeyRole = "operator"
)

// Key is an API key. Only the SHA-256 of the secret is kept.
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
