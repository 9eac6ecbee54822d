package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHostsThatDoNotKnowOfEachOtherKeepTheLimit checks the limit while hosts join and
// others learn of them late, so that old and new counters grant concurrently.
func TestHostsThatDoNotKnowOfEachOtherKeepTheLimit(t *testing.T) {
	l := limitOf(40, 40)
	for _, delay := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			s := newSimFleet(noneBroken, 1, ruleFleetSize, l, 4)
			s.reliable = true
			for _, name := range s.place(s.hosts[0]).Counters {
				joining := s.find(name)
				joining.downUntil, joining.hiddenUntil = 6*time.Second, 6*time.Second+delay
			}
			clear(s.placements)
			s.run20s(nil)
			require.LessOrEqual(t, float64(maxInWindow(s.admittedAt)), maxOperations(l, tolerance))
		})
	}
}
