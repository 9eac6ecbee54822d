package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff computes exponential backoff with full jitter: each delay is drawn
// uniformly between zero and a limit that doubles with each attempt, so that requests
// that failed together are not retried together.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// maxDoublings prevents the shift in Delay from overflowing.
const maxDoublings = 20

// Delay returns the delay before the given retry, counted from zero.
func (b Backoff) Delay(attempt int, rng *rand.Rand) time.Duration {
	limit := min(b.Base<<min(attempt, maxDoublings), b.Max)
	if limit <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(limit))) + 1
}
