package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

// TestCounterThatJoinsGrantsNoSecondBurst replays a host that starts beside a fleet,
// registers a few seconds later and takes a team over from a counter that has just
// granted all that it may, as its callers come. Together they grant no more than one counter would have.
func TestCounterThatJoinsGrantsNoSecondBurst(t *testing.T) {
	l := limitOf(4, 4)
	const step = 10 * time.Millisecond
	for startedBefore := time.Duration(0); startedBefore <= 5*time.Second; startedBefore += 500 * time.Millisecond {
		takeover := 10 * time.Second
		before := quota.NewCounter(tolerance, 0)
		next := quota.NewCounter(tolerance, takeover-startedBefore)
		var runs []time.Duration
		for now := takeover - time.Second; now < 20*time.Second; now += step {
			counter := before
			if now == takeover {
				next.TakesOver(now)
			}
			if now >= takeover {
				counter = next
			}
			for range counter.Acquire(team, l, 3, 1, now).Granted {
				runs = append(runs, now)
			}
		}
		require.LessOrEqual(t, float64(busiest(runs)), bound(l, tolerance)/3, "started %s before", startedBefore)
	}
}
