package launcher

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// targetLinger is how long an agent goes on dialing an entry that no directory lists
// any more. An entry that is stopped releases its row and is back within seconds, and a
// directory may be older than the row of an entry that has just come.
const targetLinger = 10 * time.Second

// agentTargets are the entries that an agent keeps links to.
type agentTargets struct {
	// Bootstrap are the addresses of the settings, which are always dialed.
	Bootstrap []messenger.EntryAddress

	// listed holds what directories have listed, by address.
	listed map[string]listedTarget

	mu sync.Mutex
	// linked names the entries with a link.
	linked map[messenger.Incarnation]string
}

type listedTarget struct {
	messenger.EntryAddress
	at time.Time
}

// list takes a directory and returns what to dial now. An entry with a link is kept
// whatever directories say: it is alive.
func (a *agentTargets) list(now time.Time, directory []messenger.EntryAddress) []messenger.EntryAddress {
	if a.listed == nil {
		a.listed = make(map[string]listedTarget)
	}
	for _, target := range directory {
		a.listed[target.Address] = listedTarget{target, now}
	}
	targets := slices.Clone(directory)
	for address, target := range a.listed {
		switch {
		case target.at.Equal(now):
			// This directory lists it.
		case now.Sub(target.at) < targetLinger || a.isLinked(target.Name):
			targets = append(targets, target.EntryAddress)
		default:
			delete(a.listed, address)
		}
	}
	for _, b := range a.Bootstrap {
		known := slices.ContainsFunc(targets, func(t messenger.EntryAddress) bool { return t.Address == b.Address })
		if !known {
			targets = append(targets, b)
		}
	}
	slices.SortFunc(targets, func(x, y messenger.EntryAddress) int { return strings.Compare(x.Address, y.Address) })
	return targets
}

func (a *agentTargets) isLinked(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, linked := range a.linked {
		if linked == name {
			return true
		}
	}
	return false
}

// linkOpened notes a link, the first to its peer or a further one.
func (a *agentTargets) linkOpened(peer messenger.Hello) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.linked == nil {
		a.linked = make(map[messenger.Incarnation]string)
	}
	a.linked[peer.Incarnation] = peer.Name
}

// linkClosed notes the end of the last link to a peer.
func (a *agentTargets) linkClosed(peer messenger.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.linked, peer)
}

// links is the number of peers that are linked.
func (a *agentTargets) links() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.linked)
}
