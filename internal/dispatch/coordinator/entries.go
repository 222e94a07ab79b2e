package coordinator

import (
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// storeSilence is the time without an answer of the store after which an entry
// counts as cut off from it. Entries read the settings every 500 ms.
const storeSilence = time.Second

// listed tells whether the directory has an incarnation.
func (s *State) listed(incarnation messenger.Incarnation) bool {
	return slices.ContainsFunc(s.directory, func(row EntryRow) bool { return row.Incarnation == incarnation })
}

// otherEntries lists the entries that may act on the store or the agents: the
// unfenced ones of the directory, and those met that it does not list yet. A row
// that has lapsed counts until it is fenced: its entry may be the only one that
// still reaches the store.
func (s *State) otherEntries() []messenger.Incarnation {
	var others []messenger.Incarnation
	for _, row := range s.directory {
		if row.Incarnation != s.Config.Incarnation && !row.Fenced {
			others = append(others, row.Incarnation)
		}
	}
	for incarnation := range s.unlistedPeers {
		others = append(others, incarnation)
	}
	slices.Sort(others)
	return others
}

// withinOutageHorizon tells whether the entries may still act among themselves.
func (s *State) withinOutageHorizon() bool {
	return !s.renewedAt.IsZero() && s.now.Sub(s.renewedAt) < s.Config.OutageHorizon
}

// forgetEntries drops what is remembered of entries that the directory lists by
// now, or has dropped.
func (s *State) forgetEntries() {
	for incarnation := range s.unlistedPeers {
		p := s.peers[incarnation]
		if s.listed(incarnation) || p == nil {
			delete(s.unlistedPeers, incarnation)
		}
	}
	for incarnation := range s.answeredBy {
		if !s.listed(incarnation) && s.peers[incarnation] == nil {
			delete(s.answeredBy, incarnation)
		}
	}
}

// mayAccept tells whether this entry may accept changes of the settings, and
// why not. Entries that do not know this one may confirm older settings among
// themselves for up to OutageHorizon after their last renewal.
func (s *State) mayAccept() (refusal string) {
	if s.renewedAt.IsZero() || s.now.Sub(s.renewedAt) > s.Config.EntryLease {
		return "this entry has not renewed its lease lately"
	}
	for _, row := range s.directory {
		if row.Incarnation == s.Config.Incarnation || row.Released || s.answeredBy[row.Incarnation] {
			continue
		}
		if s.unchangedFor(row) <= s.Config.OutageHorizon+s.Config.SettingsLease {
			return "entry " + row.Name + " has not answered this one since it joined"
		}
	}
	return ""
}

// mayTellThroughWitnesses tells whether no other entry can reach the store: one
// that can might take over and write another outcome.
func (s *State) mayTellThroughWitnesses() bool {
	if !s.withinOutageHorizon() {
		return false
	}
	for _, incarnation := range s.otherEntries() {
		p := s.peers[incarnation]
		if p == nil || !s.reachable(incarnation) || p.storeAge < storeSilence {
			return false
		}
	}
	return true
}

// mayConclude tells whether the outcome of a replaced owner's submissions can be
// decided from what agents hold. An owner that knows this entry tells nothing
// through witnesses without it; another may do so for up to OutageHorizon, at
// agents that cannot be asked from here.
func (s *State) mayConclude(t *takeover) bool {
	if s.answeredBy[t.owner] || t.replaced {
		return true
	}
	return s.now.Sub(t.startedAt) > s.Config.OutageHorizon+s.Config.EntryLease
}

// fenceDead fences the rows of entries that neither renew them nor answer, so
// that nobody counts on them in an outage of the store.
func (s *State) fenceDead() {
	for _, row := range s.directory {
		if row.Incarnation == s.Config.Incarnation || row.Fenced || s.takeovers[row.Incarnation] != nil {
			continue
		}
		p := s.peers[row.Incarnation]
		silent := p == nil || s.now.Sub(p.lastMessageAt) >= s.Config.PeerLapse
		if silent && s.unchangedFor(row) >= s.Config.PeerLapse {
			s.emit(FenceEntry{Row: row})
		}
	}
}
