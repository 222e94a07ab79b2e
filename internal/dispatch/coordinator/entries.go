package coordinator

import (
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// storeTimeout is the time without an answer from the store after which an entry counts
// as disconnected from the store. Entries read the settings every 500 ms.
const storeTimeout = time.Second

// listed reports whether the directory contains an incarnation.
func (s *State) listed(incarnation messenger.Incarnation) bool {
	return slices.ContainsFunc(s.directory, func(row EntryRow) bool { return row.Incarnation == incarnation })
}

// otherEntries returns the other entries that may act on the store or the agents: the
// unfenced entries in the directory, and linked peers that the directory does not list
// yet. An entry whose row has expired counts until the row is fenced, because it may be
// the only entry that still reaches the store.
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

// withinMaxStoreOutage reports whether the entries may still confirm settings and answer
// with witnessed outcomes without the store.
func (s *State) withinMaxStoreOutage() bool {
	return !s.renewedAt.IsZero() && s.now.Sub(s.renewedAt) < s.Config.MaxStoreOutage
}

// pruneEntries removes entries from unlistedPeers once the directory lists them or
// their peer is gone, and from answeredBy once both the directory and the peers lack
// them.
func (s *State) pruneEntries() {
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

// mayAccept returns the reason why this entry may not accept changes of the settings, or
// "" if it may. Entries that have never exchanged messages with this entry may confirm
// older settings without it for up to MaxStoreOutage after their last renewal.
func (s *State) mayAccept() (refusal string) {
	if s.renewedAt.IsZero() || s.now.Sub(s.renewedAt) > s.Config.EntryLease {
		return "this entry has not renewed its lease lately"
	}
	for _, row := range s.directory {
		if row.Incarnation == s.Config.Incarnation || row.Released || s.answeredBy[row.Incarnation] {
			continue
		}
		if s.unchangedFor(row) <= s.Config.MaxStoreOutage+s.Config.SettingsLease {
			return "entry " + row.Name + " has not answered this one since it joined"
		}
	}
	return ""
}

// mayAnswerFromWitnesses reports whether callers may be answered with an outcome that
// only witnesses keep. Every other entry must be reachable and disconnected from the
// store: an entry that reaches the store might take over and write another outcome.
func (s *State) mayAnswerFromWitnesses() bool {
	if !s.withinMaxStoreOutage() {
		return false
	}
	for _, incarnation := range s.otherEntries() {
		p := s.peers[incarnation]
		if p == nil || !s.reachable(incarnation) || p.storeAge < storeTimeout {
			return false
		}
	}
	return true
}

// mayConclude reports whether the outcomes of a replaced owner's submissions can be
// decided from the agents' records. An owner that has exchanged messages with this entry
// answers with witnessed outcomes only while this entry is reachable and disconnected
// from the store too. Any other owner may do so for up to MaxStoreOutage, with witnesses
// that this entry cannot reach.
func (s *State) mayConclude(t *takeover) bool {
	if s.answeredBy[t.owner] || t.replaced {
		return true
	}
	return s.now.Sub(t.startedAt) > s.Config.MaxStoreOutage+s.Config.EntryLease
}

// fenceDeadEntries fences the rows of entries that neither renew their rows nor send
// messages, so that other entries do not require their confirmation during a store
// outage.
func (s *State) fenceDeadEntries() {
	for _, row := range s.directory {
		if row.Incarnation == s.Config.Incarnation || row.Fenced || s.takeovers[row.Incarnation] != nil {
			continue
		}
		if s.Config.PeerLinks > 0 && !s.answeredBy[row.Incarnation] {
			// Not a peer, so this entry cannot tell whether it is alive.
			continue
		}
		p := s.peers[row.Incarnation]
		silent := p == nil || s.now.Sub(p.lastMessageAt) >= s.Config.PeerRowTimeout
		if silent && s.unchangedFor(row) >= s.Config.PeerRowTimeout {
			s.emit(FenceEntry{Row: row})
		}
	}
}
