package succession

import "time"

const (
	// Stagger separates the hosts that could start the same promotion. It
	// exceeds the time in which the lock of the first one becomes known to the
	// others.
	Stagger = 150 * time.Millisecond
	// maxRank is the rank from which on hosts wait no longer than those before.
	maxRank = 6
	// TakeoverDelay is how long the lock holder may show no activity before
	// another host takes the lock over, because the holder failed together with
	// the primary, is paused, or does not suspect the primary. It allows for
	// two unanswered requests to the holder.
	TakeoverDelay = 400 * time.Millisecond
	// MinTurn is how long after it has ordered a promotion a host leaves the lock to another
	// one that has taken it over. Two hosts that cannot reach each other would otherwise
	// take turns, each with a promotion that rolls back what the last primary has
	// acknowledged. The lock of a host that is gone becomes vacant meanwhile.
	MinTurn = 3 * time.Second
)

// EarliestStart returns when a host may start to lead a promotion. Rank is its
// position, from zero, among the hosts that could; lockFree reports that nobody
// holds the promotion lock; since is when the host found that the primary must be
// replaced; and holderSeenAt is when the lock holder last showed activity, or zero.
func EarliestStart(rank int, lockFree bool, since, holderSeenAt time.Duration) time.Duration {
	wait := Stagger * time.Duration(min(rank, maxRank))
	if lockFree {
		return since + wait
	}
	return max(since, holderSeenAt) + TakeoverDelay + wait
}
