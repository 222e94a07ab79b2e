package parser

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Bounds that no setting may exceed.
const (
	maxTasks        = 210
	maxPayloadBytes = 256 << 10
	// maxDeadline keeps deadlines well within the 10 min for which agents keep
	// start records.
	maxDeadline = resolver.Duration(5 * time.Minute)
	// minDeadline is about one network round trip between two of our processes.
	minDeadline = resolver.Duration(time.Millisecond)
	// maxEjectFor is the longest ejection time, at which the doubling ends.
	maxEjectFor = resolver.Duration(time.Minute)
	// maxSuspectAfter is the number of submissions whose ends an agent keeps.
	maxSuspectAfter = 16
	noMaximum       = math.MaxInt
)

// treeCheck checks the values of a decoded tree, individually and against each other.
type treeCheck struct {
	doc *document
}

// sourced is an effective setting and the name of the level that set it.
type sourced[T any] struct {
	value T
	from  string
}

// inherited holds the effective settings that a lower level may contradict.
type inherited struct {
	state    sourced[messenger.DomainState]
	deadline sourced[resolver.Duration]
	bound    sourced[resolver.Duration]
}

func checkTree(doc *document, tree *resolver.Tree) {
	const source = "built-in default"
	defaults := resolver.Defaults()
	top := inherited{
		state:    sourced[messenger.DomainState]{defaults.State, source},
		deadline: sourced[resolver.Duration]{defaults.DefaultDeadline, source},
		bound:    sourced[resolver.Duration]{defaults.MaxDeadline, source},
	}
	check := treeCheck{doc}
	each(check, "firms", tree.Firms, func(at path, firm resolver.Firm) { check.firm(at, firm, top) })
	check.keys(tree)
}

// each checks the name of each member of a map and visits the member, in the order of
// the names, so that the findings of a document are deterministic.
func each[T any](c treeCheck, container path, members map[string]T, visit func(path, T)) {
	for _, name := range slices.Sorted(maps.Keys(members)) {
		at := container.child(name)
		if !namePattern.MatchString(name) {
			c.doc.reportName(at, fmt.Sprintf("bad name %q: %s", name, nameRule))
		}
		visit(at, members[name])
	}
}

func (c treeCheck) firm(at path, firm resolver.Firm, above inherited) {
	effective := c.settings(at, LevelFirm, firm.Settings, above)
	each(c, at.child("teams"), firm.Teams, c.team)
	each(c, at.child("queues"), firm.Queues, c.queue)
	each(c, at.child("places"), firm.Places, func(at path, place resolver.Place) { c.place(at, place, effective) })
}

func (c treeCheck) place(at path, place resolver.Place, above inherited) {
	effective := c.settings(at, LevelPlace, place.Settings, above)
	each(c, at.child("failure_domains"), place.FailureDomains, func(at path, domain resolver.FailureDomain) {
		c.domain(at, domain, effective)
	})
}

func (c treeCheck) domain(at path, domain resolver.FailureDomain, above inherited) {
	effective := c.settings(at, LevelFailureDomain, domain.Settings, above)
	each(c, at.child("services"), domain.Services, func(at path, service resolver.Service) {
		c.settings(at, LevelService, service.Settings, effective)
	})
}

func (c treeCheck) queue(at path, queue resolver.Queue) {
	c.require(at.child("service"))
	inRange(c, at.child("priority"), &queue.Priority, messenger.PriorityLow, messenger.PriorityHigh)
	inRange(c, at.child("max_attempts"), &queue.MaxAttempts, 0, noMaximum)
	inRange(c, at.child("stretch_factor"), &queue.StretchFactor, 0, math.MaxFloat64)
	inRange(c, at.child("target_latency"), &queue.TargetLatency, 0, noMaximum)
	inRange(c, at.child("late_value"), queue.LateValue, 0, 1)
	inRange(c, at.child("timeout"), &queue.Timeout, 0, maxDeadline)
}

func (c treeCheck) team(at path, team resolver.Team) {
	c.require(at.child("weight"))
	inRange(c, at.child("weight"), &team.Weight, 1, noMaximum)
	inRange(c, at.child("max_running_tasks"), &team.MaxRunningTasks, 0, noMaximum)
	inRange(c, at.child("max_waiting_tasks"), &team.MaxWaitingTasks, 0, noMaximum)
}

// settings checks the overrides of one level and returns what the levels below inherit.
func (c treeCheck) settings(level path, name Level, o resolver.Overrides, above inherited) inherited {
	at := level.child("settings")
	c.values(at, o)
	effective := above
	c.state(at, name, o, &effective)
	c.deadlines(at, name, o, &effective)
	return effective
}

func (c treeCheck) values(at path, o resolver.Overrides) {
	if o.State != nil && *o.State != messenger.DomainIn && *o.State != messenger.DomainOut {
		c.doc.report(at.child("state"), fmt.Sprintf(`unknown state %q: must be "in" or "out"`, *o.State))
	}
	inRange(c, at.child("max_tasks"), o.MaxTasks, 1, maxTasks)
	inRange(c, at.child("max_payload_bytes"), o.MaxPayloadBytes, 1, maxPayloadBytes)
	inRange(c, at.child("max_result_bytes"), o.MaxResultBytes, 1, resolver.MaxResultBytesLimit)
	inRange(c, at.child("default_deadline"), o.DefaultDeadline, minDeadline, noMaximum)
	inRange(c, at.child("max_deadline"), o.MaxDeadline, minDeadline, maxDeadline)
	inRange(c, at.child("queue_limit"), o.QueueLimit, 0, noMaximum)
	inRange(c, at.child("queue_share"), o.QueueShare, 0, 1)
	inRange(c, at.child("reroute_choices"), o.RerouteChoices, 0, noMaximum)
	inRange(c, at.child("eject_after"), o.EjectAfter, 1, noMaximum)
	inRange(c, at.child("eject_for"), o.EjectFor, minDeadline, maxEjectFor)
	inRange(c, at.child("ramp_up"), o.RampUp, 0, noMaximum)
	inRange(c, at.child("suspect_after"), o.SuspectAfter, 0, maxSuspectAfter)
	inRange(c, at.child("retry_budget"), o.RetryBudget, 0, 1)
	inRange(c, at.child("hedge_after"), o.HedgeAfter, 0, noMaximum)
	inRange(c, at.child("log_decisions"), o.LogDecisions, 0, 1)
	inRange(c, at.child("late_value"), o.LateValue, 0, 1)
}

// state reports a level with state "in" below a level with state "out". Such a level
// would keep starting tasks after the level above was taken out.
func (c treeCheck) state(at path, level Level, o resolver.Overrides, effective *inherited) {
	at = at.child("state")
	if o.State == nil || c.doc.isBroken(at) {
		return
	}
	if *o.State == messenger.DomainIn && effective.state.value == messenger.DomainOut {
		c.doc.report(at, fmt.Sprintf(`state "in" contradicts state "out" of the %s`, effective.state.from))
	}
	effective.state = sourced[messenger.DomainState]{*o.State, string(level)}
}

// deadlines reports a level whose overrides make the effective default deadline
// exceed the effective maximum, even if every level below overrides them.
func (c treeCheck) deadlines(at path, level Level, o resolver.Overrides, effective *inherited) {
	setDeadline := c.applyDeadline(at.child("default_deadline"), level, o.DefaultDeadline, &effective.deadline)
	setBound := c.applyDeadline(at.child("max_deadline"), level, o.MaxDeadline, &effective.bound)
	if !setDeadline && !setBound || effective.deadline.value <= effective.bound.value {
		return
	}
	key := "default_deadline"
	if setBound {
		key = "max_deadline"
	}
	c.doc.report(at.child(key), fmt.Sprintf("max_deadline %s (%s) is below default_deadline %s (%s)",
		formatValue(effective.bound.value), effective.bound.from, formatValue(effective.deadline.value), effective.deadline.from))
}

// applyDeadline applies an override to the effective value and reports whether it
// did. An override that is absent or already has a finding is skipped.
func (c treeCheck) applyDeadline(at path, level Level, value *resolver.Duration, effective *sourced[resolver.Duration]) bool {
	if value == nil || c.doc.isBroken(at) {
		return false
	}
	*effective = sourced[resolver.Duration]{*value, string(level)}
	return true
}

// require reports a value that is absent.
func (c treeCheck) require(at path) {
	if _, present := c.doc.values[at]; !present {
		c.doc.report(at, "required")
	}
}

// inRange reports a value that is set and out of range.
func inRange[T int | float64 | resolver.Duration | messenger.Priority](c treeCheck, at path, value *T, low, high T) {
	switch {
	case value == nil || *value >= low && *value <= high:
	case *value < 0:
		c.doc.report(at, fmt.Sprintf("must not be negative, found %s", formatValue(*value)))
	case *value < low:
		c.doc.report(at, fmt.Sprintf("must be at least %s, found %s", formatValue(low), formatValue(*value)))
	default:
		c.doc.report(at, fmt.Sprintf("must be at most %s, found %s", formatValue(high), formatValue(*value)))
	}
}

func formatValue(value any) string {
	if duration, ok := value.(resolver.Duration); ok {
		return time.Duration(duration).String()
	}
	return fmt.Sprint(value)
}
