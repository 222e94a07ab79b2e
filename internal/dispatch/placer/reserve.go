package placer

import (
	"cmp"
	"slices"
)

// compareUnreserved compares the free endpoints that remain after the best slots are
// reserved for tasks of other entries that have precedence.
func (s *selection) compareUnreserved(c *class) {
	left := s.query.TasksAhead
	ranked := make([]*member, 0, len(c.free))
	for i := range c.free {
		ranked = append(ranked, c.free[i].member)
	}
	slices.SortFunc(ranked, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.factor, b.factor), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range ranked {
		free := m.freeSlots(s.query.Size)
		if left >= free {
			left -= free
			continue
		}
		s.consider(m)
	}
}
