package gatekeeper

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// LeaseBound returns how long a lease of the endpoint that is renewed now may last,
// given how long it could. The caller of an owner that has gone hands its job to
// another entry, and this agent may stall before it can end the runs: then only the
// lapse of the endpoint's lease ends them. So it never outlasts the horizon of an
// owner whose tasks run or may still start.
func (s *State) LeaseBound(now time.Time, longest time.Duration) time.Duration {
	end := now.Add(longest)
	if s.OwnerHorizon > 0 {
		for owner, at := range s.echoed {
			if now.Sub(at) <= s.settings.OwnerLease {
				end = earlier(end, s.horizonOf(owner))
			}
		}
		for _, r := range s.live {
			end = earlier(end, s.horizonOf(r.owner))
		}
		for _, r := range s.queue {
			end = earlier(end, s.horizonOf(r.owner))
		}
	}
	if end.After(s.promised) {
		s.promised = end
	}
	return end.Sub(now)
}

// horizonOf is when all that an owner has asked for must have ended, unless it is
// heard again.
func (s *State) horizonOf(owner messenger.Incarnation) time.Time {
	return s.echoed[owner].Add(s.OwnerHorizon)
}

// outlasts tells whether the endpoint's lease may outlast what an owner may ask for.
func (s *State) outlasts(owner messenger.Incarnation) bool {
	return s.OwnerHorizon > 0 && s.promised.After(s.horizonOf(owner))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// renewOwner dates the lease of an entry by the report that it echoes.
func (s *State) renewOwner(from messenger.Incarnation, sequence uint64) {
	sent, ok := s.sentTime(sequence)
	if ok && sent.After(s.echoed[from]) {
		s.echoed[from] = sent
	}
}

func (s *State) ownerLapsed(owner messenger.Incarnation) bool {
	lease := s.settings.OwnerLease
	return lease > 0 && s.now.Sub(s.echoed[owner]) > lease
}
