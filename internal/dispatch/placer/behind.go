package placer

import (
	"cmp"
	"slices"
)

// compareBehind compares the free endpoints without the best slots, which are
// left to the tasks of other entries that come first.
func (s *selection) compareBehind(c *class) {
	left := s.query.TasksAhead
	ranked := make([]*member, 0, len(c.free))
	for i := range c.free {
		ranked = append(ranked, c.free[i].member)
	}
	slices.SortFunc(ranked, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.factor, b.factor), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range ranked {
		free := m.places(s.query.Size)
		if left >= free {
			left -= free
			continue
		}
		s.consider(m)
	}
}
