package placer

import "math/rand/v2"

// candidate is an endpoint that was compared.
type candidate struct {
	member *member
	cost   float64
}

// spread replaces the best candidate by a random one among those within margin of its
// cost. Each entry learns with a delay which tasks the others have started. If all
// entries chose the best endpoint, their tasks would collide there.
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
	if chosen.member == s.best {
		return
	}
	s.randomized = true
	s.second, s.secondCost = s.best, s.bestCost
	s.best, s.bestCost = chosen.member, chosen.cost
}
