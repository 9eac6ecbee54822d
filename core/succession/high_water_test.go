package succession_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

func at(term, offset int) logpos.Position {
	return logpos.Position{Term: logpos.Term(term), Offset: logpos.Offset(offset)}
}

// TestMemberThatShowsLessOfItsTermHasForgotten replays a primary that starts
// again without its log, and answers that overtake each other.
func TestMemberThatShowsLessOfItsTermHasForgotten(t *testing.T) {
	var h succession.HighWater
	require.False(t, h.Forgotten(at(1, 0), time.Second), "nothing is known")
	h.Heard(at(3, 1207), 10*time.Second)
	require.True(t, h.Forgotten(at(3, 2), 11*time.Second))
	require.False(t, h.Forgotten(at(3, 1200), 9*time.Second), "the answer was overtaken by a later one")
	require.False(t, h.Forgotten(at(3, 1207), 11*time.Second))
	require.False(t, h.Forgotten(at(4, 2), 11*time.Second), "a promotion may cut the log back")
	h.Heard(at(3, 1000), 12*time.Second)
	require.True(t, h.Forgotten(at(3, 1100), 13*time.Second), "what was reached stays reached")
	h.Heard(at(4, 900), 14*time.Second)
	require.False(t, h.Forgotten(at(4, 900), 15*time.Second))
}
