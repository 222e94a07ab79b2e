package limiter

// Budget is a token bucket that limits retries to a share of the starts, so that retries
// can't multiply the load when many tasks fail.
type Budget struct {
	// Share is the fraction of a token that each start adds.
	Share float64
	// Burst is the maximum number of tokens.
	Burst float64

	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(share, burst float64) *Budget {
	return &Budget{Share: share, Burst: burst, tokens: burst}
}

// Started records the first start of a task, which adds tokens.
func (b *Budget) Started() {
	b.tokens = min(b.Burst, b.tokens+b.Share)
}

// MayRetry reports whether at least one token is left.
func (b *Budget) MayRetry() bool { return b.tokens >= 1 }

// Retry takes a token, and returns false if none is left.
func (b *Budget) Retry() bool {
	if !b.MayRetry() {
		return false
	}
	b.tokens--
	return true
}
