package gatekeeper

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// LeaseBound returns the maximum duration of an endpoint lease that is renewed now, at
// most longest. When an owner is lost, its caller hands the job to another entry. If
// this agent stalls before it can end the owner's runs, only the expiry of the
// endpoint's lease ends them. The lease must therefore end no later than OwnerExpiry
// after the last contact with any owner whose tasks run or may still start.
func (s *State) LeaseBound(now time.Time, longest time.Duration) time.Duration {
	end := now.Add(longest)
	if s.OwnerExpiry > 0 {
		for owner, at := range s.newestEcho {
			if now.Sub(at) <= s.settings.OwnerLease {
				end = earlier(end, s.ownerExpiresAt(owner))
			}
		}
		for _, r := range s.live {
			end = earlier(end, s.ownerExpiresAt(r.owner))
		}
		for _, r := range s.queue {
			end = earlier(end, s.ownerExpiresAt(r.owner))
		}
	}
	if end.After(s.latestLeaseEnd) {
		s.latestLeaseEnd = end
	}
	return end.Sub(now)
}

// ownerExpiresAt returns when all tasks of an owner must have ended, unless the agent
// hears from the owner again.
func (s *State) ownerExpiresAt(owner messenger.Incarnation) time.Time {
	return s.newestEcho[owner].Add(s.OwnerExpiry)
}

// leaseOutlasts reports whether the endpoint's lease may end after the time by which all
// tasks of the owner must have ended.
func (s *State) leaseOutlasts(owner messenger.Incarnation) bool {
	return s.OwnerExpiry > 0 && s.latestLeaseEnd.After(s.ownerExpiresAt(owner))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// renewOwner renews the lease of an entry from the send time of the report that the
// entry echoes.
func (s *State) renewOwner(from messenger.Incarnation, sequence uint64) {
	sent, ok := s.sentTime(sequence)
	if ok && sent.After(s.newestEcho[from]) {
		s.newestEcho[from] = sent
	}
}

func (s *State) ownerLapsed(owner messenger.Incarnation) bool {
	lease := s.settings.OwnerLease
	return lease > 0 && s.now.Sub(s.newestEcho[owner]) > lease
}
