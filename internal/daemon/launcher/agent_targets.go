package launcher

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// targetRetention is how long an agent keeps dialing an entry after the last directory
// that listed the entry. A restarting entry releases its row and is back within seconds,
// and a directory may have been read before a new entry wrote its row.
const targetRetention = 10 * time.Second

// agentTargets selects the entries that an agent dials.
type agentTargets struct {
	// Bootstrap holds the configured addresses, which are always dialed.
	Bootstrap []messenger.EntryAddress

	// listed holds the entries listed in a directory, by address.
	listed map[string]listedTarget

	mu sync.Mutex
	// linked holds the names of the entries with a link, by incarnation.
	linked map[messenger.Incarnation]string
}

type listedTarget struct {
	messenger.EntryAddress
	listedAt time.Time
}

// list records a directory and returns the entries to dial. A linked entry is kept even
// if no directory lists it, because the link shows that the entry is alive.
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
		case target.listedAt.Equal(now):
			// targets already contains the entry: this directory lists it.
		case now.Sub(target.listedAt) < targetRetention || a.isLinked(target.Name):
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

// linkOpened records a link. A peer may have several links.
func (a *agentTargets) linkOpened(peer messenger.Hello) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.linked == nil {
		a.linked = make(map[messenger.Incarnation]string)
	}
	a.linked[peer.Incarnation] = peer.Name
}

// linkClosed records that the last link to a peer was closed.
func (a *agentTargets) linkClosed(peer messenger.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.linked, peer)
}

// links returns the number of linked peers.
func (a *agentTargets) links() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.linked)
}
