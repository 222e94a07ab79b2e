package coordinator

import (
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// settingsRead handles a read of the settings. A higher version always replaces the one
// in force; a lower version neither replaces nor confirms it.
func (s *State) settingsRead(e SettingsRead) {
	if !e.SentAt.IsZero() {
		s.storeAnsweredAt = s.now
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

// settingsChanged applies a new version at this entry and sends it to all agents at once.
func (s *State) settingsChanged() {
	s.setQuotas()
	s.updateLateServices()
	for _, a := range s.sortedAgents {
		if a.sequence > 0 {
			s.register(a)
			s.sendStatus(a)
		}
	}
	s.statusToPeers()
}

// setQuotas applies this entry's share of the teams' limits. Each entry counts only its
// own tasks, so if each applied the whole limits, every added entry would raise them.
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

// shareOf returns an entry's share of a limit, rounded up so that a small limit gives
// every entry at least 1. A limit of 0 means no limit and stays 0.
func shareOf(limit, entries int) int {
	return (limit + entries - 1) / entries
}

// confirmation returns the latest time as of which the settings of this entry are known
// to have been the newest accepted ones.
func (s *State) confirmation() time.Time {
	confirmed := s.confirmedAt
	if byPeers, ok := s.peerConfirmation(); ok && byPeers.After(confirmed) {
		confirmed = byPeers
	}
	return confirmed
}

// peerConfirmation confirms the settings without the store. An accepted change is in
// force at the entry that accepted it, so if every other entry has answered a message
// sent at t and has no higher version, no higher version was accepted before t. The
// confirmation ends MaxStoreOutage after the last renewal, because this entry does not
// know entries that join in the meantime.
func (s *State) peerConfirmation() (time.Time, bool) {
	if s.Config.StoreConfirms || s.version == 0 || !s.withinMaxStoreOutage() {
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

// statusToAgents sends a status to the agents whose reports are late or missing. The
// others are sent their status in answer to a report.
func (s *State) statusToAgents() {
	for _, a := range s.sortedAgents {
		if a.sequence > 0 && s.now.Sub(a.statusAt) >= s.Config.StatusInterval {
			s.sendStatus(a)
		}
	}
}

// sendStatus sends an agent the age of the confirmation, and the settings and the
// directory if the agent does not have the current ones.
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
	if a.directorySentVersion != s.addressesVersion {
		a.directorySentVersion = s.addressesVersion
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
		RecordRetention: s.Config.RecordRetention,
		OwnerLease:      s.Config.OwnerLease,
		SuspectAfter:    settings.SuspectAfter,
	}
}

// updateAddresses updates the list of entries that agents link to. Agents are sent the
// list only when it has changed: with 16 entries, sending it with every renewal used
// more than 20 KB/s of an agent's 25 KB/s. updateAddresses must be called only after a
// read of the directory.
func (s *State) updateAddresses() {
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
		if !row.Fenced && !s.rowExpired(row) {
			addresses = append(addresses, messenger.EntryAddress{
				Name: row.Name, Incarnation: row.Incarnation, Address: row.Address,
			})
		}
	}
	return addresses
}
