package quota

import "time"

// bucket grants at most limit operations in any window: burst of them at once,
// and the rest at an even pace. A team that asks for eight times its limit would
// otherwise have all of it in the first half second of a window, and nothing for
// the rest; and a bucket that takes over from another without its memory, and starts
// empty, exceeds the limit by nothing.
type bucket struct {
	tokens float64
	// at is when tokens was right.
	at time.Duration
}

const (
	// burstShare is the part of a window's limit that is granted at once.
	burstShare = 0.05
	// leastBurst lets a team of a few operations a second run some at once, as far as
	// that is no more than smallBurstShare of its limit.
	leastBurst      = 3
	smallBurstShare = 0.2
	// rounding makes up for the inexact sum of fractions of a token.
	rounding = 1e-9
	// maxWait bounds what a team without any limit left is told to wait.
	maxWait = 5 * time.Second
)

// burstOf returns how many operations are granted at once. What goes at once does not
// come in evenly, so it is a small part of a small limit as well; but a whole operation.
func burstOf(limit float64) float64 {
	if limit < 1 {
		return 0
	}
	return max(min(max(burstShare*limit, leastBurst), smallBurstShare*limit), 1)
}

// take takes up to a number of tokens and returns how many are granted, and
// when the next one can be where it is not all.
func (b *bucket) take(limit float64, window time.Duration, wanted int, now time.Duration) Grant {
	burst := burstOf(limit)
	pace := max(limit-burst, 0) / window.Seconds()
	if now > b.at {
		b.tokens += pace * (now - b.at).Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, burst)
	granted := max(min(wanted, int(b.tokens+rounding)), 0)
	b.tokens -= float64(granted)
	if granted == wanted {
		return Grant{Granted: granted}
	}
	return Grant{Granted: granted, RetryAfter: b.wait(pace)}
}

// wait returns the time until the next operation can be granted.
func (b *bucket) wait(pace float64) time.Duration {
	if pace <= 0 {
		return maxWait
	}
	wait := time.Duration((1 - b.tokens) / pace * float64(time.Second))
	return min(max(wait, time.Millisecond), maxWait)
}
