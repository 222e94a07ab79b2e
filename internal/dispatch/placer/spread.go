package placer

import "math/rand/v2"

// candidate is an endpoint that was compared.
type candidate struct {
	member *member
	cost   float64
}

// spread replaces the best candidate by a random one among those that are hardly
// worse. Entries learn each other's starts late: if all of them chose the endpoint
// that looks best, they would meet there.
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
	s.drawn = true
	s.second, s.secondCost = s.best, s.bestCost
	s.best, s.bestCost = chosen.member, chosen.cost
}
