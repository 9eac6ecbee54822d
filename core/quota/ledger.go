package quota

import "time"

// entry is what was paid at one moment.
type entry struct {
	at   time.Duration
	paid int
}

// ledger pays for at most a number of operations in any window, and paces them: a
// team that asks for eight times its limit would otherwise have all of it in the
// first half second of a window, and nothing for the rest.
type ledger struct {
	// tokens may be paid for at once; they come in at the pace of the limit.
	tokens float64
	// at is when tokens was right; it lies ahead while the window has no room.
	at time.Duration
	// entries are the payments of the last window, the oldest first, and sum is
	// their total.
	entries []entry
	sum     int
}

const (
	// burstShare is the part of a window's limit that is paid for at once. The rest
	// comes in evenly over the window, so that a counter that starts again without a
	// memory of it, which takes half a second or more, exceeds the limit by nothing.
	burstShare = 0.1
	// leastBurst lets a team of a few operations a second run some at once.
	leastBurst = 3
	// rounding makes up for the inexact sum of fractions of a token.
	rounding = 1e-9
	// maxWait bounds what a team without any limit left is told to wait.
	maxWait = 5 * time.Second
)

// burst returns how many operations are paid for at once.
func burst(limit float64) float64 { return max(burstShare*limit, leastBurst) }

// pay takes up to a number of operations and returns how many are paid for, and
// when the next one can be where it is not all.
func (l *ledger) pay(limit float64, window time.Duration, wanted int, now time.Duration) Payment {
	l.forget(now - window)
	pace := limit / window.Seconds()
	if now > l.at {
		l.tokens += pace * (now - l.at).Seconds()
		l.at = now
	}
	l.tokens = min(l.tokens, burst(limit))
	room := max(int(limit)-l.sum, 0)
	if room == 0 && len(l.entries) > 0 {
		// What comes in until the window has room again would make a burst then, and
		// the same gap a window later.
		l.tokens, l.at = 0, l.entries[0].at+window
	}
	paid := max(min(wanted, int(l.tokens+rounding), room), 0)
	if paid > 0 {
		l.tokens -= float64(paid)
		l.sum += paid
		l.entries = append(l.entries, entry{at: now, paid: paid})
	}
	if paid == wanted {
		return Payment{Paid: paid}
	}
	return Payment{Paid: paid, RetryAfter: l.wait(pace, now)}
}

// forget drops the payments up to a time.
func (l *ledger) forget(until time.Duration) {
	n := 0
	for n < len(l.entries) && l.entries[n].at <= until {
		l.sum -= l.entries[n].paid
		n++
	}
	l.entries = l.entries[n:]
}

// wait returns the time until the next operation can be paid for.
func (l *ledger) wait(pace float64, now time.Duration) time.Duration {
	if pace <= 0 {
		return maxWait
	}
	wait := l.at - now + time.Duration(max(1-l.tokens, 0)/pace*float64(time.Second))
	return min(max(wait, time.Millisecond), maxWait)
}
