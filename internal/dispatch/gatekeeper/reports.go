package gatekeeper

import (
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

func (s *State) reportAll() {
	s.nextSequence()
	for _, entry := range s.sortedEntries() {
		s.sendReport(entry)
	}
}

func (s *State) report(entry messenger.Incarnation) {
	if s.sequence == 0 {
		s.nextSequence()
	}
	s.sendReport(entry)
}

func (s *State) nextSequence() {
	s.sequence++
	s.sentAt[s.sequence%reportTimes] = s.now
	s.reportedAt = s.now
}

// reportLoad tells the entries that do not know the present load. Without it, an
// entry would learn only from the next report that another one has filled or left
// a slot. One that has just been told with an answer waits for its turn. These
// reports repeat the sequence, which dates the settings.
func (s *State) reportLoad() {
	if s.sequence == 0 {
		return
	}
	var due []messenger.Incarnation
	for entry, l := range s.entries {
		if s.isOutdated(l) {
			due = append(due, entry)
		}
	}
	slices.Sort(due)
	for _, entry := range due {
		s.sendReport(entry)
	}
}

// isOutdated tells whether an entry has a load in mind that is neither right nor
// recent.
func (s *State) isOutdated(l *listener) bool {
	interval := s.LoadReportInterval * time.Duration(len(s.entries))
	return l.told != s.running+len(s.queue) && s.now.Sub(l.toldAt) >= interval
}

func (s *State) sendReport(entry messenger.Incarnation) {
	l := s.entries[entry]
	l.told, l.toldAt = s.running+len(s.queue), s.now
	s.send(entry, messenger.Report{
		Sequence:        s.sequence,
		Load:            s.load(),
		SettingsVersion: s.settings.Version,
	})
}

func (s *State) sortedEntries() []messenger.Incarnation {
	entries := make([]messenger.Incarnation, 0, len(s.entries))
	for entry := range s.entries {
		entries = append(entries, entry)
	}
	slices.Sort(entries)
	return entries
}

// sentTime returns when the report with this sequence was first sent, and false
// if it was never sent or is too old to be remembered.
func (s *State) sentTime(sequence uint64) (time.Time, bool) {
	if sequence == 0 || sequence > s.sequence || s.sequence-sequence >= reportTimes {
		return time.Time{}, false
	}
	return s.sentAt[sequence%reportTimes], true
}

// status takes the settings and the confirmation of an entry. The higher version
// wins; a confirmation counts only for the version in force here.
func (s *State) status(from messenger.Incarnation, m messenger.Status) {
	if m.Settings != nil && m.Settings.Version > s.settings.Version {
		s.settings = *m.Settings
	}
	s.renewOwner(from, m.EchoSequence)
	s.confirm(m)
	s.takeDirectory(m.Directory)
	if reason, blocked := s.blocked(); blocked {
		s.returnQueue(reason)
	}
	s.startQueued()
}

// confirm dates the confirmation by this agent's clock: the status was sent
// after the echoed report, so the report's time less the age is a lower bound.
func (s *State) confirm(m messenger.Status) {
	if m.SettingsVersion != s.settings.Version {
		return
	}
	reported, ok := s.sentTime(m.EchoSequence)
	if !ok {
		return
	}
	confirmed := reported.Add(-m.ConfirmedAge)
	if confirmed.After(s.confirmedAt) {
		s.confirmedAt = confirmed
	}
}

func (s *State) takeDirectory(directory []messenger.EntryAddress) {
	if directory == nil || slices.Equal(directory, s.directory) {
		return
	}
	s.directory = directory
	s.emit(DirectoryChanged{Directory: directory})
}

// blocked tells whether nothing may start here at all, and why.
func (s *State) blocked() (messenger.RefusalReason, bool) {
	switch {
	case s.lifeCycle.Is(stateWaiting):
		return messenger.RefusedNoEndpoint, true
	case !s.lifeCycle.Is(stateServing):
		return messenger.RefusedDraining, true
	case s.endpointLapsed():
		return messenger.RefusedNoEndpoint, true
	case s.settings.Version > 0 && s.settings.State != messenger.DomainIn:
		return messenger.RefusedDomainOut, true
	case s.settings.Version == 0 || s.now.Sub(s.confirmedAt) > s.settings.SettingsLease:
		return messenger.RefusedUnconfirmed, true
	}
	return "", false
}
