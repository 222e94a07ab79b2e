package placer

import "math/rand/v2"

// candidate is an endpoint that was compared.
type candidate struct {
	member *member
	cost   float64
}

// utilizationMargin is the difference in utilization at which one of two random candidates
// is preferred. Smaller differences are mostly tasks that the entry does not know of yet, or
// that have ended.
const utilizationMargin = 0.4

// spread replaces the best candidate by a random one among those within margin of its
// cost. Each entry learns with a delay which tasks the others have started. If all
// entries chose the best endpoint, their tasks would collide there. Much busier endpoints
// are avoided: they are left to entries that have no others, because more callers use them
// than their share of the endpoints carries.
func (s *selection) spread(r *rand.Rand, margin float64) {
	if s.best == nil || margin == 0 {
		return
	}
	near := 0
	for _, c := range s.compared[:s.considered] {
		if c.cost > s.bestCost+margin {
			continue
		}
		s.compared[near] = c
		near++
	}
	chosen := s.compared[r.IntN(near)]
	if other := s.compared[r.IntN(near)]; other.member.utilization()+utilizationMargin < chosen.member.utilization() {
		chosen = other
	}
	if chosen.member == s.best {
		return
	}
	s.randomized = true
	s.second, s.secondCost = s.best, s.bestCost
	s.best, s.bestCost = chosen.member, chosen.cost
}
