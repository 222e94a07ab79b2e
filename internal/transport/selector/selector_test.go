package selector

import (
	"fmt"
	"slices"
	"testing"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// fleet returns entries named like hosts of a deployment.
func fleet(entries int) []messenger.EntryAddress {
	domains := []string{"sousse", "monastir", "mahdia", "hammamet", "nabeul", "kairouan"}
	var directory []messenger.EntryAddress
	for i := range entries {
		name := fmt.Sprintf("edge-%s-%d", domains[i%len(domains)], 1+i/len(domains))
		directory = append(directory, messenger.EntryAddress{Name: name, Address: fmt.Sprintf("10.0.%d.%d:7720", i/250, 1+i%250)})
	}
	return directory
}

func agents(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("side-%d", i))
	}
	return names
}

// chosen returns the names of the first limit entries in a process's ranking.
func chosen(process string, directory []messenger.EntryAddress, limit int) []string {
	var names []string
	for _, e := range Rank(process, directory)[:limit] {
		names = append(names, e.Name)
	}
	return names
}

// Guards against entries of a large fleet that are left with so few agents that the load
// of their callers does not fit, or with so many that their links take their processor.
func TestAgentsSpreadOverEntries(t *testing.T) {
	const limit = 8
	for _, size := range []struct{ entries, agents int }{{16, 64}, {55, 240}, {240, 1040}} {
		links := make(map[string]int)
		for _, agent := range agents(size.agents) {
			for _, name := range chosen(agent, fleet(size.entries), limit) {
				links[name]++
			}
		}
		mean := size.agents * limit / size.entries
		for _, e := range fleet(size.entries) {
			if n := links[e.Name]; n < mean/2 || n > 2*mean {
				t.Errorf("%d entries: %s has %d agents, the mean is %d", size.entries, e.Name, n, mean)
			}
		}
	}
}

// Guards against an entry that comes or goes and moves the links of agents that do not
// have it among their first entries.
func TestOneEntryMovesOnlyItsOwnLinks(t *testing.T) {
	const limit = 8
	for _, entries := range []int{16, 55, 240} {
		all := fleet(entries)
		gone := all[entries/2].Name
		rest := slices.DeleteFunc(slices.Clone(all), func(e messenger.EntryAddress) bool { return e.Name == gone })
		for _, agent := range agents(4 * entries) {
			before, after := chosen(agent, all, limit), chosen(agent, rest, limit)
			kept := slices.DeleteFunc(slices.Clone(before), func(name string) bool { return name == gone })
			if !slices.Equal(kept, after[:len(kept)]) {
				t.Fatalf("%d entries: %s moved from %v to %v without %s", entries, agent, before, after, gone)
			}
		}
	}
}

// Guards against an entry that does not link to a peer that expects the link, and against
// peers that grow in number with the fleet.
func TestPeersAreMutualAndFew(t *testing.T) {
	const limit = 8
	for _, entries := range []int{1, 4, 9, 16, 55, 240} {
		directory := fleet(entries)
		linked := make(map[[2]string]bool)
		for _, e := range directory {
			peers := Peers(e.Name, directory, limit)
			if want := min(limit, entries-1); len(peers) < want || len(peers) > 4*limit {
				t.Errorf("%d entries: %s has %d peers", entries, e.Name, len(peers))
			}
			for _, p := range peers {
				linked[[2]string{e.Name, p.Name}] = true
			}
		}
		for pair := range linked {
			if !linked[[2]string{pair[1], pair[0]}] {
				t.Errorf("%d entries: %s links to %s, but not the other way round", entries, pair[0], pair[1])
			}
		}
	}
	if got := Peers("edge-sousse-1", fleet(55), 0); len(got) != 54 {
		t.Errorf("without a limit, %d peers", len(got))
	}
}
