package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

const (
	// compareAll is the number of free endpoints up to which Choose compares all.
	compareAll = 16
	// sampleSize is the number of random endpoints that Choose compares if more are
	// free.
	sampleSize = 8
)

// Query describes a task for which an endpoint is to be chosen.
type Query struct {
	Firm, Service string
	Labels        []string
	Declared      time.Duration
	// Size is the amount of resources that the task uses of an endpoint with a
	// capacity.
	Size messenger.Resources
	// Avoid names an endpoint that is chosen only if no other endpoint of the class is
	// eligible.
	Avoid string
	// FailedEndpoints names the endpoints at which the task has failed. While the class
	// has another eligible endpoint, the task waits for that one.
	FailedEndpoints []string
	// Urgent tasks are sent as the probe of an ejected endpoint only if no other
	// endpoint of those compared can be chosen.
	Urgent bool
	// WaitPosition is the position of the task among those that wait for a faster
	// endpoint, from 1. The expected wait is proportional to it: if every task were
	// treated as the next one to get a slot, the queue would grow without bound. If it
	// is 0, the task is not held back for a faster endpoint.
	WaitPosition int
	// TasksAhead is the number of best free slots that Choose leaves to other entries,
	// because that many of their tasks have precedence over this task. It has no such
	// effect if more than compareAll endpoints are free, because only a sample of them
	// is compared then. With tasks ahead, Policy.Spread is not applied.
	TasksAhead int
}

// Choice is a placement decision with the details for its log line.
type Choice struct {
	Endpoint string
	Reason   string
	RunnerUp string
	// Considered is the number of endpoints that were compared.
	Considered int
}

// The values of Choice.Reason.
const (
	// ReasonOnly: no other endpoint was compared.
	ReasonOnly = "only_candidate"
	// ReasonLeastFinish: the least expected finish of the endpoints compared.
	ReasonLeastFinish = "least_expected_finish"
	// ReasonNearLeast: chosen at random among the endpoints whose expected finish is
	// within Policy.Spread of the least. The endpoint with the least is the runner-up.
	ReasonNearLeast = "near_least_expected_finish"
	// ReasonProbe: the task is the probe of an ejected endpoint.
	ReasonProbe = "probe"
	// ReasonDespiteSuspicion: the endpoint is suspect, and is used because of the limits on
	// ejections.
	ReasonDespiteSuspicion = "despite_suspicion"
	// ReasonHeldBack: the task waits for a faster endpoint, or for one where it has not
	// failed.
	ReasonHeldBack = "held_back"
	// ReasonNoRoom: no endpoint can be chosen, and at least one has too few free resources
	// for the task.
	ReasonNoRoom = "no_room"
)

// Policy holds the options of Choose.
type Policy struct {
	// HoldBack makes a task wait for a faster endpoint if it is then expected to finish
	// earlier than in the free slot of a slow one. The next tasks may use that slot.
	// The caller calls Choose again when a task returns, or after a short time.
	HoldBack bool
	// Margin is the minimum ratio of the expected gain to the expected wait at which a
	// task is held back.
	Margin float64
	// Spread is how much greater than the least the expected finish of a choice may be,
	// in run times at an endpoint of mean speed. The choice among the endpoints within
	// this margin is random. Zero always chooses the least.
	Spread float64
}

// DefaultPolicy returns the options that New sets. BenchmarkPolicies compares
// them with others.
func DefaultPolicy() Policy {
	return Policy{HoldBack: true, Margin: 1}
}

// Choose returns the endpoint with the least expected finish among those that have a free
// slot according to the last reports and the tasks sent since. If more than compareAll
// endpoints are free, it compares a random sample, or the others if no endpoint of the
// sample has room for the task; see also Policy.Spread. It returns
// false if the task should wait. The reason is then ReasonHeldBack or ReasonNoRoom if
// another task may use the free slots, and empty if no slot can be used.
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
	s := selection{query: &q, mayAvoid: c.hasAlternativeTo(q.Avoid)}
	if q.TasksAhead > 0 && len(c.free) <= compareAll {
		s.compareUnreserved(c)
	} else {
		s.compare(r, c)
	}
	if s.best == nil && s.lackedRoom {
		return Choice{Reason: ReasonNoRoom}, false
	}
	if s.best == nil {
		return Choice{}, false
	}
	if s.best.hasFailed(q.FailedEndpoints) && c.hasUntried(q.FailedEndpoints) {
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

// hasAlternativeTo reports whether the class has an eligible endpoint other than the
// named one.
func (c *class) hasAlternativeTo(name string) bool {
	if name == "" {
		return false
	}
	if c.eligible > 1 {
		return true
	}
	for _, m := range c.members {
		if m.Name == name {
			return !m.eligible && c.eligible == 1
		}
	}
	return true
}

// selection is the state of one choice, with the two best candidates so far.
type selection struct {
	query                *Query
	mayAvoid             bool
	best, second         *member
	bestCost, secondCost float64
	// compared holds the candidates considered so far.
	compared   [compareAll]candidate
	considered int
	// randomized is true if spread replaced the best candidate by another one.
	randomized bool
	// lackedRoom is true if an endpoint was skipped because the task doesn't fit.
	lackedRoom bool
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
	if s.considered == 0 && s.lackedRoom {
		s.compareWithRoom(r, c)
	}
}

// compareWithRoom compares up to sampleSize endpoints with room for the task, from a random
// one on. It visits all endpoints if it finds fewer.
func (s *selection) compareWithRoom(r *rand.Rand, c *class) {
	first := r.IntN(len(c.free))
	for i := range c.free {
		s.consider(c.free[(first+i)%len(c.free)].member)
		if s.considered == sampleSize {
			return
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
	if s.mayAvoid && m.Name == s.query.Avoid {
		return
	}
	if !m.hasRoomFor(s.query.Size) {
		s.lackedRoom = true
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

// hasFailed reports whether the endpoint is one of those where the task has failed.
func (m *member) hasFailed(failed []string) bool {
	return slices.Contains(failed, m.Name)
}

// hasUntried reports whether the class has an eligible endpoint where the task has not
// failed.
func (c *class) hasUntried(failed []string) bool {
	for _, m := range c.members {
		if m.eligible && !m.hasFailed(failed) {
			return true
		}
	}
	return false
}

// cost returns the expected finish relative to an endpoint of mean speed. Each
// consecutive failure counts as one more run, except at an endpoint that is being probed:
// its past failures do not keep the probe away. For an urgent task, such an endpoint has
// the highest cost. For other tasks, the probe of a suspect endpoint costs nothing: its
// offer expires, and a slow endpoint would never be probed while faster ones are free. The
// utilization decides between nearly equal endpoints: the busier an endpoint, the less
// certain that its slot is still free.
func (m *member) cost(urgent bool) float64 {
	loadPenalty := 1 + 0.1*m.utilization()
	if m.phase == phaseProbing {
		if urgent {
			return math.MaxFloat64
		}
		if m.suspect {
			return 0
		}
		return m.factor * loadPenalty
	}
	return m.factor * loadPenalty * float64(1+m.failures())
}

func (s *selection) choice() Choice {
	c := Choice{Endpoint: s.best.Name, Considered: s.considered, Reason: ReasonLeastFinish}
	if s.second != nil {
		c.RunnerUp = s.second.Name
	} else {
		c.Reason = ReasonOnly
	}
	if s.randomized {
		c.Reason = ReasonNearLeast
	}
	if s.best.phase == phaseProbing {
		c.Reason = ReasonProbe
	}
	if s.best.suspect && s.best.phase == phaseIn {
		c.Reason = ReasonDespiteSuspicion
	}
	return c
}
