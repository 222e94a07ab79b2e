package coordinator

import "time"

// checkStall suspends an entry whose event loop stalled for longer than its lease,
// because another entry may have replaced it in the meantime.
func (s *State) checkStall() {
	if s.now.Sub(s.handledAt) > s.Config.EntryLease {
		s.suspend()
	}
}

// suspend stops all starts until the entry row has been read again.
func (s *State) suspend() {
	if s.leaseUnverified || !s.mayDispatch() {
		return
	}
	s.leaseUnverified = true
	transition(s.lifeCycle, eventSuspend)
	s.renewPending = false
	s.renew()
}

// renewRetryInterval is the renewal interval of an entry that is starting or suspended and
// depends on a successful renewal.
const renewRetryInterval = 100 * time.Millisecond

func (s *State) renewTick() {
	interval := s.Config.RenewInterval
	if s.lifeCycle.Is(entryStarting) || s.leaseUnverified {
		interval = renewRetryInterval
	}
	if !s.renewPending && s.now.Sub(s.renewSentAt) >= interval {
		s.renew()
	}
}

func (s *State) renew() {
	s.renewal++
	s.renewPending = true
	s.renewSentAt = s.now
	s.emit(RenewLease{Renewal: s.renewal})
}

// leaseRenewed handles the result of the last renewal. Results of earlier renewals are
// ignored: a renewal sent before a stall does not prove that the lease still holds.
func (s *State) leaseRenewed(e LeaseRenewed) {
	if e.Renewal != s.renewal {
		return
	}
	s.renewPending = false
	if e.Failed {
		return
	}
	if e.Fenced {
		s.exit("this incarnation was replaced")
		return
	}
	s.leaseUnverified = false
	s.renewedAt = s.now
	s.directory = e.Directory
	s.storeAnsweredAt = s.now
	s.recordRenewals()
	s.updateAddresses()
	s.pruneEntries()
	s.fenceDeadEntries()
	s.activate()
	s.advanceTakeovers()
}

func (s *State) exit(reason string) {
	if transition(s.lifeCycle, eventStop) {
		s.emit(Exit{Reason: reason})
	}
}

// recordRenewals records, by this entry's clock, when each renewal of another entry's
// row was first seen.
func (s *State) recordRenewals() {
	seen := make(map[string]rowObservation, len(s.directory))
	for _, row := range s.directory {
		observed, ok := s.observedRows[row.Name]
		if !ok || observed.incarnation != row.Incarnation || observed.renewal != row.Renewal {
			observed = rowObservation{incarnation: row.Incarnation, renewal: row.Renewal, at: s.now}
		}
		seen[row.Name] = observed
	}
	s.observedRows = seen
}

// rowExpired reports whether a row has not been renewed for more than PeerRowTimeout, so
// that agents need not link to its entry. Time without a successful read of the store
// does not count.
func (s *State) rowExpired(row EntryRow) bool {
	return s.unchangedFor(row) > s.Config.PeerRowTimeout
}

// activate makes the entry active once it has read the settings and renewed its row.
func (s *State) activate() {
	if s.tree != nil && !s.renewPending && !s.renewedAt.IsZero() {
		transition(s.lifeCycle, eventActivate)
	}
}

// unchangedFor returns the time between the first observation of a row's current
// renewal and the last read of the directory.
func (s *State) unchangedFor(row EntryRow) time.Duration {
	observed, ok := s.observedRows[row.Name]
	if !ok || observed.incarnation != row.Incarnation || observed.renewal != row.Renewal {
		return 0
	}
	return s.renewedAt.Sub(observed.at)
}
