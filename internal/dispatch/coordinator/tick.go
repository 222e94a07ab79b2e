package coordinator

// tick makes the decisions that depend only on time.
func (s *State) tick() {
	s.renewTick()
	s.watchAgents()
	s.forgetDropped()
	s.expireDeadlines()
	s.settlingTick()
	s.hedge()
	s.moveOverdue()
	s.refuseTooLate()
	s.observeLateRoom()
	s.watchStrain()
	s.watchRemotes()
	s.expireCancels()
	s.expireTickets()
	s.statusTick()
	s.drainTick()
}

func (s *State) statusTick() {
	if s.now.Sub(s.statusAt) < s.Config.StatusInterval {
		return
	}
	s.statusAt = s.now
	s.forgetAttempts()
	s.statusToAgents()
	s.statusToPeers()
}
