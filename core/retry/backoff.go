package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff spaces attempts: each wait is drawn uniformly from zero to a ceiling
// that doubles ("full jitter"), so that requests that failed together do not
// return together.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// maxDoublings keeps the shift below from overflowing.
const maxDoublings = 20

// Wait returns the pause before the given retry, counted from zero.
func (b Backoff) Wait(attempt int, rng *rand.Rand) time.Duration {
	ceiling := min(b.Base<<min(attempt, maxDoublings), b.Max)
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(ceiling))) + 1
}
