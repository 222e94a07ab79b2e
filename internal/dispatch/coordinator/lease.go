package coordinator

import "time"

// checkStall suspends an entry whose control loop stood still for longer than
// its lease: another entry may have replaced it meanwhile.
func (s *State) checkStall() {
	if s.now.Sub(s.handledAt) > s.Config.EntryLease {
		s.suspend()
	}
}

// suspend stops all starts until the entry row was read anew.
func (s *State) suspend() {
	if s.leaseUnverified || !s.mayDispatch() {
		return
	}
	s.leaseUnverified = true
	step(s.lifeCycle, eventSuspend)
	s.renewPending = false
	s.renew()
}

// renewRetry is the wait after a failed renewal of an entry that may not start
// anything until one succeeds.
const renewRetry = 100 * time.Millisecond

func (s *State) renewTick() {
	interval := s.Config.RenewInterval
	if s.lifeCycle.Is(entryStarting) || s.leaseUnverified {
		interval = renewRetry
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

// leaseRenewed takes the answer to the last renewal. Answers to earlier ones,
// sent before a stall, prove nothing.
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
	s.noteRows()
	s.updateAddresses()
	s.forgetEntries()
	s.fenceDead()
	s.activate()
	s.advanceTakeovers()
}

func (s *State) exit(reason string) {
	if step(s.lifeCycle, eventStop) {
		s.emit(Exit{Reason: reason})
	}
}

// noteRows dates the renewals of the other entries by this entry's clock.
func (s *State) noteRows() {
	seen := make(map[string]rowObservation, len(s.directory))
	for _, row := range s.directory {
		sight, ok := s.observedRows[row.Name]
		if !ok || sight.incarnation != row.Incarnation || sight.renewal != row.Renewal {
			sight = rowObservation{incarnation: row.Incarnation, renewal: row.Renewal, at: s.now}
		}
		seen[row.Name] = sight
	}
	s.observedRows = seen
}

// lapsed tells whether a row was not renewed for so long that agents need not
// link to its entry. Only time in which the table was read counts.
func (s *State) lapsed(row EntryRow) bool {
	return s.unchangedFor(row) > s.Config.PeerLapse
}

// activate lets the entry work once it knows its settings and its own row.
func (s *State) activate() {
	if s.tree != nil && !s.renewPending && !s.renewedAt.IsZero() {
		step(s.lifeCycle, eventActivate)
	}
}

// unchangedFor returns how long a row is known not to have been renewed.
func (s *State) unchangedFor(row EntryRow) time.Duration {
	sight, ok := s.observedRows[row.Name]
	if !ok || sight.incarnation != row.Incarnation || sight.renewal != row.Renewal {
		return 0
	}
	return s.renewedAt.Sub(sight.at)
}
