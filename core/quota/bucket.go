package quota

import "time"

// bucket is a token bucket. It grants at most limit operations in any window: a burst
// at once and the rest at a constant refill rate. This spreads the grants of a team
// that exceeds its limit over the window. A counter that takes a team over without its
// state starts with an empty bucket and so does not exceed the limit.
type bucket struct {
	tokens float64
	// refilledAt is the time of the last refill of tokens.
	refilledAt time.Duration
}

const (
	// burstShare is the share of a window's limit that is granted at once.
	burstShare = 0.05
	// minBurst is the number of operations that a team with a low rate may run at once
	// if they are no more than maxBurstShare of its limit.
	minBurst      = 3
	maxBurstShare = 0.2
	// epsilon compensates for rounding errors in sums of fractional tokens.
	epsilon = 1e-9
	// maxWait bounds the retry delay given to a team whose limit is exhausted.
	maxWait = 5 * time.Second
)

// burstOf returns how many operations are granted at once. A burst reduces the refill
// rate, so it is a small share of the limit, but at least one operation.
func burstOf(limit float64) float64 {
	if limit < 1 {
		return 0
	}
	return max(min(max(burstShare*limit, minBurst), maxBurstShare*limit), 1)
}

// take takes up to wanted tokens. If it grants fewer, the grant says when the next
// token is available.
func (b *bucket) take(limit float64, window time.Duration, wanted int, now time.Duration) Grant {
	burst := burstOf(limit)
	refillRate := max(limit-burst, 0) / window.Seconds()
	if now > b.refilledAt {
		b.tokens += refillRate * (now - b.refilledAt).Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, burst)
	granted := max(min(wanted, int(b.tokens+epsilon)), 0)
	b.tokens -= float64(granted)
	if granted == wanted {
		return Grant{Granted: granted}
	}
	return Grant{Granted: granted, RetryAfter: b.untilNextToken(refillRate)}
}

func (b *bucket) untilNextToken(refillRate float64) time.Duration {
	if refillRate <= 0 {
		return maxWait
	}
	wait := time.Duration((1 - b.tokens) / refillRate * float64(time.Second))
	return min(max(wait, time.Millisecond), maxWait)
}
