package gatekeeper

import (
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// leaveDelay is the time between the report that tells an entry that the agent leaves it
// and the end of the link. Starts that are under way arrive within it.
const leaveDelay = 500 * time.Millisecond

// leaveEntries tells the listed entries that the agent leaves them, and the others that it
// stays.
func (s *State) leaveEntries(left []messenger.Incarnation) {
	for _, entry := range s.sortedEntries() {
		l := s.entries[entry]
		leaving := slices.Contains(left, entry)
		if leaving == s.isLeaving(entry) || l.released {
			continue
		}
		l.leftAt = time.Time{}
		if leaving {
			l.leftAt = s.now
		}
		s.report(entry)
	}
}

// entryLinked adds an entry. A new connection to an entry that the agent leaves changes
// nothing about that, but has to be released again.
func (s *State) entryLinked(entry messenger.Incarnation) {
	l := &linkedEntry{}
	if earlier := s.entries[entry]; earlier != nil {
		l.leftAt = earlier.leftAt
	}
	s.entries[entry] = l
	s.report(entry)
}

func (s *State) isLeaving(entry messenger.Incarnation) bool {
	l := s.entries[entry]
	return l != nil && !l.leftAt.IsZero()
}

func (s *State) isReleased(entry messenger.Incarnation) bool {
	l := s.entries[entry]
	return l != nil && l.released
}

// releaseEntries releases the entries that the agent leaves and that have no task here. An
// entry that is no owner any more does not bound the endpoint's lease either.
func (s *State) releaseEntries() {
	for _, entry := range s.sortedEntries() {
		l := s.entries[entry]
		if l.leftAt.IsZero() || l.released || s.now.Sub(l.leftAt) < leaveDelay || s.hasTasksOf(entry) {
			continue
		}
		l.released = true
		delete(s.newestEcho, entry)
		s.emit(Release{Entry: entry})
	}
}

// hasTasksOf reports whether a queued or running task belongs to an entry.
func (s *State) hasTasksOf(entry messenger.Incarnation) bool {
	if slices.ContainsFunc(s.queue, func(r *record) bool { return r.owner == entry }) {
		return true
	}
	for _, r := range s.records {
		if r.owner == entry && r.state == messenger.RecordRunning {
			return true
		}
	}
	return false
}
