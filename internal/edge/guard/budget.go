package guard

import "sync/atomic"

// budget counts the bytes that requests hold or are about to allocate. Its zero value
// admits everything.
type budget struct {
	// limit is the size of the budget; 0 means unlimited.
	limit int64
	// reserve is the part of the limit that callers cannot use.
	reserve int64
	used    atomic.Int64
}

// available returns the bytes of the budget for a class.
func (b *budget) available(class Class) int64 {
	if class == Callers {
		return b.limit - b.reserve
	}
	return b.limit
}

// take reserves n bytes, or reports that they are not left for the class.
func (b *budget) take(n int64, class Class) bool {
	used := b.used.Add(n)
	if b.limit == 0 || used <= b.available(class) {
		return true
	}
	b.used.Add(-n)
	return false
}

// takeAnyway reserves n bytes even if the budget is used up.
func (b *budget) takeAnyway(n int64) { b.used.Add(n) }

func (b *budget) release(n int64) { b.used.Add(-n) }

// canFit reports whether n bytes fit into the part for a class if nothing else is in it.
func (b *budget) canFit(n int64, class Class) bool {
	return b.limit == 0 || n <= b.available(class)
}
