package launcher

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/transport/selector"
)

// targetRetention is how long an agent keeps dialing an entry after the last directory
// that listed the entry. A restarting entry releases its row and is back within seconds,
// and a directory may have been read before a new entry wrote its row.
const targetRetention = 10 * time.Second

const (
	// substituteAfter is how long an entry may be dialed in vain before the agent dials
	// another one in its place. Entries restart within a second.
	substituteAfter = 3 * time.Second
	// choiceInterval is the maximum time between two choices of entries.
	choiceInterval = time.Second
)

// agentTargets selects the entries that an agent dials.
type agentTargets struct {
	// Name is the name of the agent.
	Name string
	// Bootstrap holds the configured addresses, which are dialed until a directory lists
	// them.
	Bootstrap []messenger.EntryAddress
	// Limit is the number of listed entries to which the agent keeps links; 0 means all.
	Limit int

	// listed holds the entries listed in a directory, by address.
	listed map[string]listedTarget

	mu sync.Mutex
	// linked holds the linked entries by incarnation.
	linked linkedTargets
}

type linkedTarget struct {
	name string
	// released is true once the agent has left the entry and no longer dials it.
	released bool
}

type listedTarget struct {
	messenger.EntryAddress
	listedAt time.Time
	// unlinkedSince is when the agent began to dial the entry or lost the link to it; zero
	// while the entry is linked or not dialed.
	unlinkedSince time.Time
}

// list records a directory.
func (a *agentTargets) list(now time.Time, directory []messenger.EntryAddress) {
	if a.listed == nil {
		a.listed = make(map[string]listedTarget)
	}
	for _, target := range directory {
		a.listed[target.Address] = listedTarget{target, now, a.listed[target.Address].unlinkedSince}
	}
}

// choose returns the entries to dial, and the linked ones among them that the agent leaves
// because it prefers others. A linked entry is a candidate even if no directory lists it,
// because the link shows that the entry is alive.
func (a *agentTargets) choose(now time.Time) (targets []messenger.EntryAddress, left []messenger.Incarnation) {
	linked := a.links()
	var candidates []messenger.EntryAddress
	for address, target := range a.listed {
		if now.Sub(target.listedAt) >= targetRetention && !linked.has(target.Name) {
			delete(a.listed, address)
			continue
		}
		candidates = append(candidates, target.EntryAddress)
	}
	targets, surplus := a.prefer(now, candidates, linked)
	for _, target := range surplus {
		targets = append(targets, target)
		left = append(left, linked.incarnations(target.Name)...)
	}
	for _, b := range a.Bootstrap {
		known := slices.ContainsFunc(candidates, func(t messenger.EntryAddress) bool { return t.Address == b.Address })
		if !known {
			targets = append(targets, b)
		}
	}
	targets = slices.DeleteFunc(targets, func(t messenger.EntryAddress) bool { return linked.isReleased(t.Name) })
	slices.SortFunc(targets, func(x, y messenger.EntryAddress) int { return strings.Compare(x.Address, y.Address) })
	slices.Sort(left)
	return targets, left
}

// prefer returns the first Limit candidates in the agent's ranking and as many substitutes
// as of those are dialed in vain. If most of the first ones cannot be reached, there are no
// substitutes: all entries restart, or this host is cut off. The surplus holds the other
// linked candidates, which are kept until half of the preferred ones are linked.
func (a *agentTargets) prefer(
	now time.Time, candidates []messenger.EntryAddress, linked linkedTargets,
) (preferred, surplus []messenger.EntryAddress) {
	if a.Limit == 0 {
		return candidates, nil
	}
	wanted, unreachable, reached := a.Limit, 0, 0
	for i, target := range selector.Rank(a.Name, candidates) {
		isLinked := linked.has(target.Name)
		switch {
		case i < wanted:
			preferred = append(preferred, target)
		case isLinked:
			surplus = append(surplus, target)
		}
		if i < wanted && isLinked {
			reached++
		}
		if i < a.Limit && a.dialedInVain(now, target.Address, isLinked) {
			unreachable++
		}
		if i == a.Limit-1 && 2*unreachable <= a.Limit {
			wanted += unreachable
		}
	}
	if 2*reached < a.Limit {
		return append(preferred, surplus...), nil
	}
	return preferred, surplus
}

// dialedInVain records whether a dialed entry is linked, and reports whether it has been
// unreachable for substituteAfter.
func (a *agentTargets) dialedInVain(now time.Time, address string, linked bool) bool {
	target := a.listed[address]
	switch {
	case linked:
		target.unlinkedSince = time.Time{}
	case target.unlinkedSince.IsZero():
		target.unlinkedSince = now
	}
	a.listed[address] = target
	return !linked && now.Sub(target.unlinkedSince) >= substituteAfter
}

// linkOpened records a link. A peer may have several links.
func (a *agentTargets) linkOpened(peer messenger.Hello) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.linked == nil {
		a.linked = make(map[messenger.Incarnation]linkedTarget)
	}
	a.linked[peer.Incarnation] = linkedTarget{name: peer.Name}
}

// linkClosed records that the last link to a peer was closed.
func (a *agentTargets) linkClosed(peer messenger.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.linked, peer)
}

// release allows the link to an entry to be closed. The entry is not dialed again before
// that.
func (a *agentTargets) release(peer messenger.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l, ok := a.linked[peer]; ok {
		l.released = true
		a.linked[peer] = l
	}
}

// links returns the linked entries.
func (a *agentTargets) links() linkedTargets {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.linked)
}

// linkedTargets holds linked entries by incarnation.
type linkedTargets map[messenger.Incarnation]linkedTarget

func (l linkedTargets) has(name string) bool {
	return len(l.incarnations(name)) > 0
}

func (l linkedTargets) isReleased(name string) bool {
	for _, target := range l {
		if target.name == name && target.released {
			return true
		}
	}
	return false
}

func (l linkedTargets) incarnations(name string) []messenger.Incarnation {
	var incarnations []messenger.Incarnation
	for incarnation, target := range l {
		if target.name == name {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}
