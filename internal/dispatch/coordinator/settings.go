package coordinator

import (
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// settingsRead takes a read of the settings. The higher version always wins; a
// lower one neither replaces nor confirms what is in force.
func (s *State) settingsRead(e SettingsRead) {
	if !e.SentAt.IsZero() {
		s.storeAt = s.now
	}
	if e.Version > s.version && e.Tree != nil {
		s.version = e.Version
		s.tree = e.Tree
		s.settingsChanged()
	}
	if e.Version == s.version && e.SentAt.After(s.confirmedAt) {
		s.confirmedAt = e.SentAt
	}
	s.activate()
}

// settingsChanged applies a new version here and pushes it to all agents at once.
func (s *State) settingsChanged() {
	s.setQuotas()
	for _, a := range s.sorted {
		if a.sequence > 0 {
			s.register(a)
			s.sendStatus(a)
		}
	}
	s.statusToPeers()
}

// setQuotas puts this entry's share of the teams' limits in force. Entries count
// their own tasks only, so with whole limits each added entry would raise them.
func (s *State) setQuotas() {
	if s.tree == nil {
		return
	}
	entries := max(1, len(s.addresses))
	for firm, settings := range s.tree.Firms {
		for team, quota := range settings.Teams {
			quota.MaxRunningTasks = shareOf(quota.MaxRunningTasks, entries)
			quota.MaxWaitingTasks = shareOf(quota.MaxWaitingTasks, entries)
			s.teams.Set(firm, team, quota)
		}
	}
}

// shareOf rounds up, so that a small limit leaves every entry something. No
// limit, 0, stays none.
func shareOf(limit, entries int) int {
	return (limit + entries - 1) / entries
}

// confirmation returns the time as of which the settings here are known to be
// the newest accepted ones.
func (s *State) confirmation() time.Time {
	confirmed := s.confirmedAt
	if told, ok := s.peerConfirmation(); ok && told.After(confirmed) {
		confirmed = told
	}
	return confirmed
}

// peerConfirmation holds without the store: an accepted change is in force at
// the entry that accepted it, so if every other entry has answered a message
// sent at t and knows no higher version, none was accepted before t. It ends
// OutageHorizon after the last renewal, because entries that join meanwhile are
// not known here.
func (s *State) peerConfirmation() (time.Time, bool) {
	if s.version == 0 || !s.withinOutageHorizon() {
		return time.Time{}, false
	}
	confirmed := s.now
	for _, incarnation := range s.otherEntries() {
		p := s.peers[incarnation]
		if p == nil || p.confirmedAt.IsZero() || p.version > s.version {
			return time.Time{}, false
		}
		if p.confirmedAt.Before(confirmed) {
			confirmed = p.confirmedAt
		}
	}
	return confirmed, true
}

// statusToAgents serves the agents whose reports do not come, or come late. The
// others get their status in answer to a report.
func (s *State) statusToAgents() {
	for _, a := range s.sorted {
		if a.sequence > 0 && s.now.Sub(a.statusAt) >= s.Config.StatusInterval {
			s.sendStatus(a)
		}
	}
}

// sendStatus tells an agent the age of the confirmation, and the settings and
// the directory if it lacks them.
func (s *State) sendStatus(a *agent) {
	if s.version == 0 {
		return
	}
	confirmed := s.confirmation()
	if confirmed.IsZero() {
		return
	}
	m := messenger.Status{
		EchoSequence:    a.sequence,
		ConfirmedAge:    s.now.Sub(confirmed),
		SettingsVersion: s.version,
	}
	if a.settingsVersion < s.version && a.load.Service != "" {
		m.Settings = s.agentSettings(a)
	}
	if a.directorySent != s.addressesVersion {
		a.directorySent = s.addressesVersion
		m.Directory = s.addresses
	}
	a.statusAt = s.now
	s.send(a.incarnation, m)
}

func (s *State) agentSettings(a *agent) *messenger.AgentSettings {
	settings, declared := s.tree.Resolve(a.scope)
	state := settings.State
	if !declared {
		state = messenger.DomainOut
	}
	return &messenger.AgentSettings{
		Version:         s.version,
		State:           state,
		QueueLimit:      settings.QueueLimit,
		QueueShare:      settings.QueueShare,
		SettingsLease:   s.Config.SettingsLease,
		StartFreshness:  s.Config.StartFreshness,
		RecordRetention: s.Config.RecordHorizon,
		OwnerLease:      s.Config.OwnerLease,
	}
}

// noteAddresses takes the entries that agents are to link to. Agents are sent the
// list only when it changed: with 16 entries, sending it with every renewal took
// over 20 of an agent's 25 KB/s. The list may change only where the directory was
// read.
func (s *State) noteAddresses() {
	addresses := s.listAddresses()
	if !slices.Equal(addresses, s.addresses) {
		s.addresses = addresses
		s.addressesVersion++
		s.setQuotas()
	}
}

func (s *State) listAddresses() []messenger.EntryAddress {
	var addresses []messenger.EntryAddress
	for _, row := range s.directory {
		if !row.Fenced && !s.lapsed(row) {
			addresses = append(addresses, messenger.EntryAddress{
				Name: row.Name, Incarnation: row.Incarnation, Address: row.Address,
			})
		}
	}
	return addresses
}
