package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHostsThatDoNotKnowOfEachOtherKeepTheLimit replays hosts that join while the
// store's news reach the others late: for some seconds a team is counted by them and
// by the counters before them.
func TestHostsThatDoNotKnowOfEachOtherKeepTheLimit(t *testing.T) {
	l := limitOf(40, 40)
	for _, late := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			s := newSimFleet(none, 1, flawedSize, l, 4)
			s.calm = true
			for _, name := range s.place(s.hosts[0]).Counters {
				joins := s.find(name)
				joins.downUntil, joins.unheardUntil = 6*time.Second, 6*time.Second+late
			}
			clear(s.placed)
			s.play20(nil)
			require.LessOrEqual(t, float64(busiest(s.runs)), bound(l, tolerance))
		})
	}
}
