// Package selector chooses the entries to which a process keeps links. In a large fleet,
// a process links to a few entries only, so that the cost of its links does not grow with
// the fleet.
//
// The choice uses rendezvous hashing: each pair of names has a score, and a process ranks
// the entries by their scores. An entry that comes or goes changes the choice of the
// processes that rank it among their first ones, and of no others.
package selector

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Rank sorts the entries by the preference of the named process, the most preferred first.
func Rank(process string, entries []messenger.EntryAddress) []messenger.EntryAddress {
	type ranked struct {
		entry messenger.EntryAddress
		score uint64
	}
	order := make([]ranked, 0, len(entries))
	for _, e := range entries {
		order = append(order, ranked{e, score(process, e.Name)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.entry.Name, b.entry.Name))
	})
	sorted := make([]messenger.EntryAddress, 0, len(order))
	for _, r := range order {
		sorted = append(sorted, r.entry)
	}
	return sorted
}

// Peers returns the entries to which the named entry links: those among its own first
// limit entries, and those that have it among theirs. Both ends of a link come to the same
// result from the same directory. A limit of 0 returns all other entries.
func Peers(name string, directory []messenger.EntryAddress, limit int) []messenger.EntryAddress {
	names := make([]string, 0, len(directory))
	for _, e := range directory {
		names = append(names, e.Name)
	}
	var peers []messenger.EntryAddress
	for _, e := range directory {
		if e.Name == name {
			continue
		}
		if limit == 0 || prefers(name, e.Name, names, limit) || prefers(e.Name, name, names, limit) {
			peers = append(peers, e)
		}
	}
	return peers
}

// prefers reports whether one of the names is among the first limit other names in the
// ranking of the named process.
func prefers(process, candidate string, names []string, limit int) bool {
	own := score(process, candidate)
	better := 0
	for _, name := range names {
		if name == process || name == candidate {
			continue
		}
		if s := score(process, name); s > own || (s == own && name < candidate) {
			better++
		}
		if better == limit {
			return false
		}
	}
	return true
}

func score(process, entry string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(process)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(entry)
	return d.Sum64()
}
