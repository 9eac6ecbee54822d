// Package retry implements retry budgets and exponential backoff.
package retry

// Budget is a token bucket that limits retries to a fixed ratio of first attempts
// plus a small reserve, so that retries do not multiply the load of a failing
// upstream. It is not safe for concurrent use.
type Budget struct {
	ratio   float64
	reserve float64
	tokens  float64
}

// NewBudget returns a full budget that gains ratio tokens for each first attempt and
// holds at most reserve tokens.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// RecordAttempt credits the budget for a first attempt.
func (b *Budget) RecordAttempt() { b.tokens = min(b.tokens+b.ratio, b.reserve) }

// TryRetry consumes a token if one is left, and reports whether a retry is allowed.
func (b *Budget) TryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return gives back a token whose retry was not made.
func (b *Budget) Return() { b.tokens = min(b.tokens+1, b.reserve) }
