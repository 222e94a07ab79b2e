package limiter

// Budget bounds retries to a share of the starts, so that retries cannot
// multiply the load when many tasks fail.
type Budget struct {
	// Share is the part of a token that each start adds.
	Share float64
	// Burst bounds the tokens kept.
	Burst float64

	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(share, burst float64) *Budget {
	return &Budget{Share: share, Burst: burst, tokens: burst}
}

// Started records a first start.
func (b *Budget) Started() {
	b.tokens = min(b.Burst, b.tokens+b.Share)
}

// MayRetry reports whether a whole token is left.
func (b *Budget) MayRetry() bool { return b.tokens >= 1 }

// Retry takes a token, and returns false if none is left.
func (b *Budget) Retry() bool {
	if !b.MayRetry() {
		return false
	}
	b.tokens--
	return true
}
