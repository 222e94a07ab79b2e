package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

const (
	// compareAll is the number of free endpoints up to which all are compared.
	compareAll = 16
	// sampleSize is the number of endpoints compared otherwise.
	sampleSize = 8
)

// Query asks for an endpoint for one task.
type Query struct {
	Firm, Service string
	Labels        []string
	Declared      time.Duration
	// Size is what the task takes of an endpoint with a stated capacity.
	Size messenger.Resources
	// Avoid names an endpoint to use only if no other of the class is open.
	Avoid string
	// FailedEndpoints names endpoints where the task has failed. It waits for another one
	// while there is one.
	FailedEndpoints []string
	// Urgent tasks are not used to probe an ejected endpoint.
	Urgent bool
	// WaitPosition is the place of the task among those that wait for a faster
	// endpoint, from 1. Without it (0), the task is not held back: if every task
	// were taken for the next in line, the queue would grow without bound.
	WaitPosition int
	// TasksAhead is how many tasks of other entries come first. The best free slots are
	// left to them, unless so many endpoints are free that only some are compared.
	TasksAhead int
}

// Choice is a placement decision with what a log line needs.
type Choice struct {
	Endpoint   string
	Reason     string
	RunnerUp   string
	Considered int
}

// The reasons of a choice.
const (
	ReasonOnly        = "only_candidate"
	ReasonLeastFinish = "least_expected_finish"
	// ReasonNearLeast: drawn among those that are hardly worse than the least, which is
	// the runner-up.
	ReasonNearLeast = "near_least_expected_finish"
	ReasonProbe     = "probe"
	ReasonHeldBack  = "held_back"
	// ReasonNoRoom: the endpoints that are free have too little room for the task.
	ReasonNoRoom = "no_room"
)

// Policy holds the options of Choose.
type Policy struct {
	// HoldBack leaves the slot of a slow endpoint unused if waiting for a faster
	// one is expected to finish earlier. The slot remains for the tasks behind.
	// The caller asks again when a task returns, or after a short time.
	HoldBack bool
	// Margin is how many times the expected wait must fit into the expected gain.
	Margin float64
	// Spread is how much worse than the best a choice may be, in run times at an
	// endpoint of mean speed. The choice within it is random. Zero chooses the best.
	Spread float64
}

// DefaultPolicy returns the options that New sets. BenchmarkPolicies compares
// them with others.
func DefaultPolicy() Policy {
	return Policy{HoldBack: true, Margin: 1}
}

// Choose returns the endpoint with the least expected finish among those with a
// slot thought free. It returns false if the task should wait; the reason is then
// ReasonHeldBack if another task might use the slots that are free.
func (x *Index) Choose(now time.Time, r *rand.Rand, q Query) (Choice, bool) {
	x.advance(now)
	p := x.pools[poolKey{q.Firm, q.Service}]
	if p == nil {
		return Choice{}, false
	}
	c := p.class(q.Labels)
	if c == nil || len(c.free) == 0 {
		return Choice{}, false
	}
	s := selection{query: &q, avoid: c.avoids(q.Avoid)}
	if q.TasksAhead > 0 && len(c.free) <= compareAll {
		s.compareBehind(c)
	} else {
		s.compare(r, c)
	}
	if s.best == nil && s.tooSmall {
		return Choice{Reason: ReasonNoRoom}, false
	}
	if s.best == nil {
		return Choice{}, false
	}
	if s.best.hasFailed(q.FailedEndpoints) && c.hasOther(q.FailedEndpoints) {
		return Choice{Reason: ReasonHeldBack, Considered: s.considered}, false
	}
	if x.Policy.HoldBack && q.WaitPosition > 0 && x.worthWaiting(now, r, c, &s) {
		return Choice{Reason: ReasonHeldBack, Considered: s.considered}, false
	}
	if q.TasksAhead == 0 {
		s.spread(r, x.Policy.Spread)
	}
	return s.choice(), true
}

// avoids reports whether the class has an open endpoint other than the named.
func (c *class) avoids(name string) bool {
	if name == "" {
		return false
	}
	if c.open > 1 {
		return true
	}
	for _, m := range c.members {
		if m.Name == name {
			return !m.open && c.open == 1
		}
	}
	return true
}

// selection keeps the two best candidates seen.
type selection struct {
	query                *Query
	avoid                bool
	best, second         *member
	bestCost, secondCost float64
	// compared holds the candidates that were considered.
	compared   [compareAll]candidate
	considered int
	// drawn is true if the choice was drawn among near equals and is not the best.
	drawn bool
	// tooSmall is true if an endpoint was passed over for want of room.
	tooSmall bool
}

func (s *selection) compare(r *rand.Rand, c *class) {
	if len(c.free) <= compareAll {
		for i := range c.free {
			s.consider(c.free[i].member)
		}
		return
	}
	var seen [sampleSize]int
	for n := range sampleSize {
		at := r.IntN(len(c.free))
		seen[n] = at
		if !contains(seen[:n], at) {
			s.consider(c.free[at].member)
		}
	}
}

func contains(seen []int, at int) bool {
	for _, v := range seen {
		if v == at {
			return true
		}
	}
	return false
}

func (s *selection) consider(m *member) {
	if s.avoid && m.Name == s.query.Avoid {
		return
	}
	if !m.takes(s.query.Size) {
		s.tooSmall = true
		return
	}
	cost := m.cost(s.query.Urgent)
	if m.hasFailed(s.query.FailedEndpoints) {
		cost = math.MaxFloat64
	}
	s.compared[s.considered] = candidate{m, cost}
	s.considered++
	switch {
	case s.best == nil || cost < s.bestCost:
		s.second, s.secondCost = s.best, s.bestCost
		s.best, s.bestCost = m, cost
	case s.second == nil || cost < s.secondCost:
		s.second, s.secondCost = m, cost
	}
}

// hasFailed tells whether the task has failed at this endpoint before.
func (m *member) hasFailed(failed []string) bool {
	return slices.Contains(failed, m.Name)
}

// hasOther tells whether the class has an open endpoint where the task has not
// failed yet.
func (c *class) hasOther(failed []string) bool {
	for _, m := range c.members {
		if m.open && !m.hasFailed(failed) {
			return true
		}
	}
	return false
}

// cost is the expected finish relative to an endpoint of mean speed. Recent
// failures count as repeated runs. The load breaks near-ties, because a slot
// thought free is less certain on a crowded endpoint.
func (m *member) cost(urgent bool) float64 {
	crowd := 1 + 0.1*m.crowd()
	if m.phase == phaseProbing {
		if urgent {
			return math.MaxFloat64
		}
		return m.factor * crowd
	}
	return m.factor * crowd * float64(1+m.streak)
}

func (s *selection) choice() Choice {
	c := Choice{Endpoint: s.best.Name, Considered: s.considered, Reason: ReasonLeastFinish}
	if s.second != nil {
		c.RunnerUp = s.second.Name
	} else {
		c.Reason = ReasonOnly
	}
	if s.drawn {
		c.Reason = ReasonNearLeast
	}
	if s.best.phase == phaseProbing {
		c.Reason = ReasonProbe
	}
	return c
}
