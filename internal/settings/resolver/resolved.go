package resolver

import (
	"fmt"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Duration is a time.Duration written as a string such as "3s" or "250ms".
type Duration time.Duration

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("not a duration with a unit, such as 250ms: %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// Overrides are the settings of one level. A nil field is inherited.
type Overrides struct {
	State           *messenger.DomainState `json:"state,omitempty"`
	MaxTasks        *int                   `json:"max_tasks,omitempty"`
	MaxPayloadBytes *int                   `json:"max_payload_bytes,omitempty"`
	MaxResultBytes  *int                   `json:"max_result_bytes,omitempty"`
	DefaultDeadline *Duration              `json:"default_deadline,omitempty"`
	MaxDeadline     *Duration              `json:"max_deadline,omitempty"`
	QueueLimit      *int                   `json:"queue_limit,omitempty"`
	QueueShare      *float64               `json:"queue_share,omitempty"`
	RerouteChoices  *int                   `json:"reroute_choices,omitempty"`
	EjectAfter      *int                   `json:"eject_after,omitempty"`
	EjectFor        *Duration              `json:"eject_for,omitempty"`
	RampUp          *Duration              `json:"ramp_up,omitempty"`
	SuspectAfter    *int                   `json:"suspect_after,omitempty"`
	RetryBudget     *float64               `json:"retry_budget,omitempty"`
	HedgeAfter      *Duration              `json:"hedge_after,omitempty"`
	LogDecisions    *float64               `json:"log_decisions,omitempty"`
	LateValue       *float64               `json:"late_value,omitempty"`
}

// Resolved holds the effective settings of a service in a failure domain.
type Resolved struct {
	// State defines whether tasks may start in the failure domain.
	State messenger.DomainState `json:"state"`
	// MaxTasks bounds the tasks of one job.
	MaxTasks int `json:"max_tasks"`
	// MaxPayloadBytes bounds the payload of one task.
	MaxPayloadBytes int `json:"max_payload_bytes"`
	// MaxResultBytes bounds the results of all tasks of one job.
	MaxResultBytes int `json:"max_result_bytes"`
	// DefaultDeadline applies to submissions that set no deadline.
	DefaultDeadline Duration `json:"default_deadline"`
	// MaxDeadline bounds the deadline of a submission. Agents keep start records
	// for longer than MaxDeadline.
	MaxDeadline Duration `json:"max_deadline"`
	// QueueLimit is the maximum number of tasks that wait at an agent, in addition
	// to the running ones.
	QueueLimit int `json:"queue_limit"`
	// QueueShare is the share of an endpoint's declared capacity that all tasks
	// waiting at its agent may take in total; a single waiting task may take more.
	// 0 means no bound.
	QueueShare float64 `json:"queue_share"`
	// RerouteChoices is the number of endpoints with room, the chosen one included, from
	// which on a task that finds its endpoint full is placed elsewhere instead of waiting
	// at the agent. 0 always lets it wait.
	RerouteChoices int `json:"reroute_choices,omitempty"`
	// EjectAfter is the number of consecutive failures after which an endpoint is ejected.
	EjectAfter int `json:"eject_after"`
	// EjectFor is the duration of the first ejection. It doubles with each further
	// ejection in a row, up to one minute.
	EjectFor Duration `json:"eject_for"`
	// RampUp is how long a new or readmitted endpoint takes to reach its full share.
	RampUp Duration `json:"ramp_up"`
	// SuspectAfter is the number of distinct submissions that must fail in a row at an
	// endpoint for its agent to take it out of use at all entries; 0 means never.
	SuspectAfter int `json:"suspect_after,omitempty"`
	// RetryBudget is the share of extra starts that repeatable requests may cause.
	RetryBudget float64 `json:"retry_budget"`
	// HedgeAfter is the delay after which a second copy of a repeatable request is
	// sent; 0 disables hedging.
	HedgeAfter Duration `json:"hedge_after"`
	// LogDecisions is the share of placement decisions that are logged, from 0 to 1.
	LogDecisions float64 `json:"log_decisions"`
	// LateValue is the value of a late answer relative to one on time, for the queues that
	// do not set their own. With 0, jobs that would be late are refused.
	LateValue float64 `json:"late_value,omitempty"`
}

// MaxResultBytesLimit is the highest allowed MaxResultBytes. A value in the table
// holds 4 MiB, of which 64 KiB are reserved for the states and the CBOR framing of
// 210 tasks.
const MaxResultBytesLimit = 4<<20 - 64<<10

// Defaults returns the settings that apply where no level overrides them.
func Defaults() Resolved {
	return Resolved{
		State:           messenger.DomainIn,
		MaxTasks:        messenger.MaxTasks,
		MaxPayloadBytes: 256 << 10,
		MaxResultBytes:  MaxResultBytesLimit,
		DefaultDeadline: Duration(30 * time.Second),
		MaxDeadline:     Duration(5 * time.Minute),
		QueueLimit:      2,
		EjectAfter:      5,
		EjectFor:        Duration(2 * time.Second),
		RampUp:          Duration(time.Second),
		SuspectAfter:    0,
		RetryBudget:     0.1,
		HedgeAfter:      0,
		LogDecisions:    1,
		LateValue:       0,
	}
}

// Apply returns r with the overrides of one level applied.
func (r Resolved) Apply(o Overrides) Resolved {
	override(&r.State, o.State)
	override(&r.MaxTasks, o.MaxTasks)
	override(&r.MaxPayloadBytes, o.MaxPayloadBytes)
	override(&r.MaxResultBytes, o.MaxResultBytes)
	override(&r.DefaultDeadline, o.DefaultDeadline)
	override(&r.MaxDeadline, o.MaxDeadline)
	override(&r.QueueLimit, o.QueueLimit)
	override(&r.QueueShare, o.QueueShare)
	override(&r.RerouteChoices, o.RerouteChoices)
	override(&r.EjectAfter, o.EjectAfter)
	override(&r.EjectFor, o.EjectFor)
	override(&r.RampUp, o.RampUp)
	override(&r.SuspectAfter, o.SuspectAfter)
	override(&r.RetryBudget, o.RetryBudget)
	override(&r.HedgeAfter, o.HedgeAfter)
	override(&r.LogDecisions, o.LogDecisions)
	override(&r.LateValue, o.LateValue)
	return r
}

func override[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

// Scope identifies a leaf of the tree: a service in a failure domain.
type Scope struct {
	Firm          string `json:"firm"`
	Place         string `json:"place"`
	FailureDomain string `json:"failure_domain"`
	Service       string `json:"service"`
}

// Resolve returns the effective settings of a leaf, and false if the tree does
// not declare the leaf.
func (t Tree) Resolve(s Scope) (Resolved, bool) {
	firm, ok := t.Firms[s.Firm]
	if !ok {
		return Resolved{}, false
	}
	place, ok := firm.Places[s.Place]
	if !ok {
		return Resolved{}, false
	}
	domain, ok := place.FailureDomains[s.FailureDomain]
	if !ok {
		return Resolved{}, false
	}
	service, ok := domain.Services[s.Service]
	if !ok {
		return Resolved{}, false
	}
	r := Defaults().Apply(firm.Settings).Apply(place.Settings)
	return r.Apply(domain.Settings).Apply(service.Settings), true
}

// ResolveAdmission returns the settings that bound a submission to a service
// before the failure domains of its tasks are chosen: for each of these settings, the
// strictest value of all failure domains that declare the service. It returns false
// if no failure domain of the firm declares the service.
func (t Tree) ResolveAdmission(firm, service string) (Resolved, bool) {
	var strictest Resolved
	found := false
	for placeName, place := range t.Firms[firm].Places {
		for domainName := range place.FailureDomains {
			r, ok := t.Resolve(Scope{firm, placeName, domainName, service})
			if !ok {
				continue
			}
			if !found {
				strictest, found = r, true
				continue
			}
			strictest.MaxTasks = min(strictest.MaxTasks, r.MaxTasks)
			strictest.MaxPayloadBytes = min(strictest.MaxPayloadBytes, r.MaxPayloadBytes)
			strictest.MaxResultBytes = min(strictest.MaxResultBytes, r.MaxResultBytes)
			strictest.DefaultDeadline = min(strictest.DefaultDeadline, r.DefaultDeadline)
			strictest.MaxDeadline = min(strictest.MaxDeadline, r.MaxDeadline)
			strictest.RetryBudget = min(strictest.RetryBudget, r.RetryBudget)
			strictest.HedgeAfter = max(strictest.HedgeAfter, r.HedgeAfter)
			strictest.LogDecisions = max(strictest.LogDecisions, r.LogDecisions)
			strictest.LateValue = min(strictest.LateValue, r.LateValue)
			strictest.RerouteChoices = min(strictest.RerouteChoices, r.RerouteChoices)
		}
	}
	return strictest, found
}
