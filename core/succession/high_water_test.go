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

// TestPrimaryThatShowsLessOfItsLogHasForgotten replays a primary that starts
// again without its log, and answers that overtake each other.
func TestPrimaryThatShowsLessOfItsLogHasForgotten(t *testing.T) {
	var h succession.HighWater
	require.False(t, h.Forgotten("a", 1, at(1, 0), time.Second), "nothing is known")
	h.Heard("a", 3, at(3, 1207), 10*time.Second)
	require.True(t, h.Forgotten("a", 3, at(3, 2), 11*time.Second))
	require.True(t, h.Forgotten("a", 3, at(2, 900), 11*time.Second), "the log of the term is gone, older terms are left")
	require.False(t, h.Forgotten("a", 3, at(3, 1200), 9*time.Second), "the answer was overtaken by a later one")
	require.False(t, h.Forgotten("a", 3, at(3, 1207), 11*time.Second))
	h.Heard("a", 3, at(3, 1000), 12*time.Second)
	require.True(t, h.Forgotten("a", 3, at(3, 1100), 13*time.Second), "what was reached stays reached")
}

// TestPromotionMayCutTheLogBack: the next primary has received less, and until it
// writes its position is one of the term before.
func TestPromotionMayCutTheLogBack(t *testing.T) {
	var h succession.HighWater
	h.Heard("a", 3, at(3, 1207), 10*time.Second)
	require.False(t, h.Forgotten("b", 3, at(3, 1200), 11*time.Second))
	require.False(t, h.Forgotten("b", 4, at(3, 1200), 11*time.Second))
	h.Heard("b", 4, at(3, 1200), 11*time.Second)
	require.False(t, h.Forgotten("b", 4, at(4, 1201), 12*time.Second))
	require.False(t, h.Forgotten("a", 5, at(3, 1200), 12*time.Second), "promoted again, it has lost what was rolled back")
	h.Heard("a", 3, at(3, 1300), 13*time.Second)
	require.True(t, h.Forgotten("b", 4, at(3, 1100), 14*time.Second), "news of the older term came late")
}
