package succession

import "time"

const (
	// Stagger separates the hosts that could start the same promotion: longer
	// than it takes the first one's lock to become known everywhere.
	Stagger = 150 * time.Millisecond
	// maxRank bounds the wait of the last host.
	maxRank = 6
	// DeputyAfter is how long the holder of the lock may be seen not to act before
	// another host takes the lock from it. Fault pattern: the holder is lost
	// together with the primary, is frozen, or does not share the others' view.
	// Two questions to it that stay without an answer fit in, and it bounds what
	// the loss of the holder costs callers.
	DeputyAfter = 400 * time.Millisecond
)

// Turn says when a host may lead a promotion. Rank is its place among the hosts
// that could, from zero; since is when it found the reason to act, and leaderSeen
// when the holder of the lock last showed that it acts, zero if it has not.
// Vacant tells that nobody holds the lock.
func Turn(rank int, vacant bool, since, leaderSeen time.Duration) time.Duration {
	wait := Stagger * time.Duration(min(rank, maxRank))
	if vacant {
		return since + wait
	}
	return max(since, leaderSeen) + DeputyAfter + wait
}
