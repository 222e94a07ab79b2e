package gatekeeper

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// verifyInterval is the time between two verifications of the failure domain.
const verifyInterval = 500 * time.Millisecond

// verifyDomain requests a verification of the failure domain while no entry confirms the
// settings: the entries may have lost the store, and not know of a take-out.
func (s *State) verifyDomain() {
	if s.VerifyAfter == 0 || s.settings.Version == 0 || s.now.Sub(s.confirmedAt) <= s.VerifyAfter {
		return
	}
	if s.now.Sub(s.verifySentAt) < verifyInterval {
		return
	}
	s.verifySentAt = s.now
	s.emit(VerifyDomain{})
}

func (s *State) domainVerified(e DomainVerified) {
	was := s.isVerifiedOut()
	s.domainOut = e.Out
	if s.isVerifiedOut() == was {
		return
	}
	if !was {
		s.refuseQueue(messenger.RefusedDomainOut)
	}
	s.reportAll()
}

// isVerifiedOut reports whether the agent has found its failure domain taken out and no
// entry has confirmed the settings since.
func (s *State) isVerifiedOut() bool {
	return s.domainOut && !s.confirmedAt.After(s.verifySentAt)
}
