package succession

import (
	"slices"
	"time"
)

const (
	// Stagger separates the hosts that could start the same promotion: longer
	// than it takes the first one's lock to become known everywhere.
	Stagger = 150 * time.Millisecond
	// maxRank bounds the wait of the last host.
	maxRank = 6
)

// Lost reports whether enough hosts have lost the primary to replace it: more
// than half of those that live. A cut between the primary and some hosts must
// not cost the writes that the other hosts had acknowledged.
func Lost(suspecting, live []string) bool {
	if len(live) == 0 {
		return false
	}
	count := 0
	for _, host := range suspecting {
		if slices.Contains(live, host) {
			count++
		}
	}
	return 2*count > len(live)
}

// Turn returns how long a host waits before it tries to lead a promotion. Rank
// is its place among the hosts that could, from zero.
func Turn(rank int) time.Duration { return Stagger * time.Duration(min(rank, maxRank)) }
