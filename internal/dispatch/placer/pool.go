package placer

import (
	"slices"
	"strings"
	"time"
)

// maxClasses is the maximum number of label sets indexed per service. Callers choose
// the label sets, so without a limit they could exhaust the memory.
const maxClasses = 64

type poolKey struct{ firm, service string }

type domainKey struct{ place, failureDomain string }

// pool holds the endpoints of one service.
type pool struct {
	key     poolKey
	members []*member
	domains map[domainKey]*domain
	// all is the class of tasks without labels. It contains every member.
	all     *class
	classes map[string]*class
	// labelled lists the classes with labels, the oldest first.
	labelled []*class
	// ejected is the number of members that are ejected or probing.
	ejected int
	// suspects is the number of members that their agents report as suspect.
	suspects int
	runTimes
}

// domain counts the endpoints of the service in one failure domain: those without a
// block, and those among them that are not ejected or probing either.
type domain struct{ unblocked, eligible int }

// class contains the endpoints of a service that have one set of labels.
type class struct {
	key     string
	labels  []string
	members []*member
	// free lists the members that have a free slot, according to the known load.
	free []freeMember
	// unblocked is the number of members without a block, eligible the number of those
	// among them that are not ejected or probing.
	unblocked, eligible int
}

type freeMember struct {
	*member
	membership int
}

func newPool(key poolKey) *pool {
	return &pool{
		key:     key,
		domains: make(map[domainKey]*domain),
		all:     &class{},
		classes: make(map[string]*class),
	}
}

// join adds m to its pool, failure domain and classes, where m counts as blocked until
// the caller calls refresh.
func (x *Index) join(m *member) {
	key := poolKey{m.Scope.Firm, m.Scope.Service}
	p := x.pools[key]
	if p == nil {
		p = newPool(key)
		x.pools[key] = p
	}
	m.pool = p
	p.members = append(p.members, m)
	if m.phase != phaseIn {
		p.ejected++
	}
	if m.suspect {
		p.suspects++
	}
	at := domainKey{m.Scope.Place, m.Scope.FailureDomain}
	if p.domains[at] == nil {
		p.domains[at] = &domain{}
	}
	m.domain = p.domains[at]
	p.all.add(m)
	for _, c := range p.labelled {
		if offers(m.Labels, c.labels) {
			c.add(m)
		}
	}
}

// leave removes m from its pool. The caller must call reconcile for the pool
// afterwards.
func (x *Index) leave(m *member) {
	m.setFree(false)
	m.setEligible(false)
	m.setUnblocked(false)
	for _, s := range m.memberships {
		s.class.members = without(s.class.members, m)
	}
	m.memberships = nil
	m.pool.members = without(m.pool.members, m)
	if m.phase != phaseIn {
		m.pool.ejected--
	}
	if m.suspect {
		m.pool.suspects--
	}
}

// reconcile deletes an empty pool. In another pool it ends the ejections that are no
// longer allowed, and ejects the suspect endpoints that may be ejected now.
func (x *Index) reconcile(now time.Time, p *pool, d *domain) {
	if len(p.members) == 0 {
		delete(x.pools, p.key)
		return
	}
	x.readmitExcess(now, p, d)
	x.ejectSuspects(now, p)
}

func without(members []*member, m *member) []*member {
	at := slices.Index(members, m)
	return slices.Delete(members, at, at+1)
}

func offers(offered, wanted []string) bool {
	for _, label := range wanted {
		if !slices.Contains(offered, label) {
			return false
		}
	}
	return true
}

// class returns the class of a set of labels, or nil if no member has all of them.
func (p *pool) class(labels []string) *class {
	if len(labels) == 0 {
		return p.all
	}
	key := classKey(labels)
	if c, known := p.classes[key]; known {
		if len(c.members) == 0 {
			return nil
		}
		return c
	}
	c := &class{key: key, labels: slices.Clone(labels)}
	for _, m := range p.members {
		if offers(m.Labels, labels) {
			c.addIndexed(m)
		}
	}
	if len(c.members) == 0 {
		return nil
	}
	p.indexClass(c)
	return c
}

func classKey(labels []string) string {
	if len(labels) == 1 {
		return labels[0]
	}
	sorted := slices.Clone(labels)
	slices.Sort(sorted)
	return strings.Join(sorted, "\x00")
}

// indexClass adds c to the index. If the pool already has maxClasses, it removes the
// oldest.
func (p *pool) indexClass(c *class) {
	if len(p.labelled) == maxClasses {
		oldest := p.labelled[0]
		for _, m := range oldest.members {
			m.memberships = slices.DeleteFunc(m.memberships, func(s membership) bool { return s.class == oldest })
			m.reindexMemberships()
		}
		delete(p.classes, oldest.key)
		p.labelled = slices.Delete(p.labelled, 0, 1)
	}
	p.classes[c.key] = c
	p.labelled = append(p.labelled, c)
}

// reindexMemberships updates the membership indexes in the free lists after a
// membership was deleted.
func (m *member) reindexMemberships() {
	for i, s := range m.memberships {
		if s.freeIndex >= 0 {
			s.class.free[s.freeIndex].membership = i
		}
	}
}

func (c *class) add(m *member) {
	c.members = append(c.members, m)
	m.memberships = append(m.memberships, membership{class: c, freeIndex: -1})
}

// addIndexed adds a member that is already indexed, with its present state. A member that
// join adds has no state yet.
func (c *class) addIndexed(m *member) {
	c.add(m)
	if m.unblocked {
		c.unblocked++
	}
	if m.eligible {
		c.eligible++
	}
	if m.free {
		c.addFree(m, len(m.memberships)-1)
	}
}

func (c *class) addFree(m *member, membership int) {
	m.memberships[membership].freeIndex = len(c.free)
	c.free = append(c.free, freeMember{m, membership})
}

func (c *class) removeFree(m *member, membership int) {
	at := m.memberships[membership].freeIndex
	last := len(c.free) - 1
	moved := c.free[last]
	c.free[at] = moved
	moved.memberships[moved.membership].freeIndex = at
	c.free[last] = freeMember{}
	c.free = c.free[:last]
	m.memberships[membership].freeIndex = -1
}
