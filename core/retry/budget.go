// Package retry limits and spaces repeated attempts.
package retry

// Budget is a token bucket fed by first attempts: retries may be at most a
// fixed ratio of them, plus a small reserve, so that a failing upstream is not
// met with several times its load. It is not safe for concurrent use.
type Budget struct {
	ratio   float64
	reserve float64
	tokens  float64
}

// NewBudget returns a budget that allows ratio retries for each first attempt
// and holds at most reserve unused ones.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// Attempt notes a first attempt.
func (b *Budget) Attempt() { b.tokens = min(b.tokens+b.ratio, b.reserve) }

// Retry reports whether one more retry is allowed, and takes it if so.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
