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
	s.sentAt[s.sequence%reportHistorySize] = s.now
	s.reportedAt = s.now
}

// reportLoad sends the current load to the entries that assume another one. Otherwise
// an entry would learn only from the next periodic report that another entry has
// taken or released a slot. An entry that has just received the load with an answer
// is skipped until its interval has passed. These reports repeat the sequence number
// of the last periodic report, whose send time dates the confirmation of settings.
func (s *State) reportLoad() {
	if s.sequence == 0 {
		return
	}
	var due []messenger.Incarnation
	for entry, l := range s.entries {
		if s.isLoadOutdated(l) {
			due = append(due, entry)
		}
	}
	slices.Sort(due)
	for _, entry := range due {
		s.sendReport(entry)
	}
}

// isLoadOutdated reports whether an entry assumes a wrong load and the load was not sent
// to that entry within the minimum interval.
func (s *State) isLoadOutdated(l *linkedEntry) bool {
	interval := s.LoadReportInterval * time.Duration(len(s.entries))
	return l.reportedLoad != s.running+len(s.queue) && s.now.Sub(l.reportedLoadAt) >= interval
}

func (s *State) sendReport(entry messenger.Incarnation) {
	l := s.entries[entry]
	l.reportedLoad, l.reportedLoadAt = s.running+len(s.queue), s.now
	s.send(entry, messenger.Report{
		Sequence:        s.sequence,
		Load:            s.loadFor(entry),
		SettingsVersion: s.settings.Version,
		Leaving:         s.isLeaving(entry),
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

// sentTime returns when the report with this sequence number was first sent. It
// returns false if the report was never sent or its time is no longer kept.
func (s *State) sentTime(sequence uint64) (time.Time, bool) {
	if sequence == 0 || sequence > s.sequence || s.sequence-sequence >= reportHistorySize {
		return time.Time{}, false
	}
	return s.sentAt[sequence%reportHistorySize], true
}

// status applies the settings and the confirmation that an entry sends. The higher
// version wins. A confirmation counts only for the version that is in force here.
func (s *State) status(from messenger.Incarnation, m messenger.Status) {
	if m.Settings != nil && m.Settings.Version > s.settings.Version {
		s.settings = *m.Settings
		s.configureHealth()
	}
	s.renewOwner(from, m.EchoSequence)
	s.confirm(m)
	s.updateDirectory(m.Directory)
	if reason, blocked := s.blocked(); blocked {
		s.refuseQueue(reason)
	}
	s.startQueued()
}

// confirm dates the confirmation of the settings by this agent's clock. The status was
// sent after the echoed report, so the send time of that report minus ConfirmedAge is
// a lower bound of the confirmation's time.
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

func (s *State) updateDirectory(directory []messenger.EntryAddress) {
	if directory == nil || slices.Equal(directory, s.directory) {
		return
	}
	s.directory = directory
	s.emit(DirectoryChanged{Directory: directory})
}

// blocked reports whether no task at all may start at this endpoint, and why.
func (s *State) blocked() (messenger.RefusalReason, bool) {
	switch {
	case s.lifeCycle.Is(stateWaiting):
		return messenger.RefusedNoEndpoint, true
	case !s.lifeCycle.Is(stateServing):
		return messenger.RefusedDraining, true
	case s.endpointLapsed():
		return messenger.RefusedNoEndpoint, true
	case s.settings.Version > 0 && s.settings.State != messenger.DomainIn, s.isVerifiedOut():
		return messenger.RefusedDomainOut, true
	case s.settings.Version == 0 || s.now.Sub(s.confirmedAt) > s.settings.SettingsLease:
		return messenger.RefusedUnconfirmed, true
	}
	return "", false
}
