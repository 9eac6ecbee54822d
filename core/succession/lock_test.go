package succession_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

const ms = time.Millisecond

func TestWhoMayLeadWithTheTokenThatItHas(t *testing.T) {
	mine := succession.Lock{Holder: "a", Revision: 7}
	require.False(t, succession.MayLead("b", mine, true, nil), "it holds no token")
	require.False(t, succession.MayLead("a", succession.Lock{}, true, nil))
	require.True(t, succession.MayLead("a", mine, true, nil))
	require.True(t, succession.MayLead("a", mine, false, nil), "nobody reaches the store")
	sees := func(revision uint64) []succession.Opinion {
		return []succession.Opinion{{Host: "b", Dead: true}, {Host: "c", StoreReached: true, Lock: revision}}
	}
	require.True(t, succession.MayLead("a", mine, false, sees(7)), "its lock stands")
	require.False(t, succession.MayLead("a", mine, false, sees(9)), "another host has taken it")
	require.False(t, succession.MayLead("a", mine, false, sees(0)), "its lease has ended")
}

// TestHolderGoesFirst: the others give it time, more for as long as it shows that
// it acts, and take the lock one after the other.
func TestHolderGoesFirst(t *testing.T) {
	since := 10 * time.Second
	require.Equal(t, since, succession.Turn(0, true, since, 0), "nobody holds the lock")
	require.Equal(t, since+succession.Stagger, succession.Turn(1, true, since, 0))
	require.Equal(t, since+succession.DeputyAfter, succession.Turn(0, false, since, 0))
	require.Equal(t, since+succession.DeputyAfter+2*succession.Stagger, succession.Turn(2, false, since, time.Second))
	require.Equal(t, since+time.Second+succession.DeputyAfter, succession.Turn(0, false, since, since+time.Second))
	require.Equal(t, succession.Turn(6, false, since, 0), succession.Turn(60, false, since, 0))
}

func TestOpinionsAreOfOnePrimaryAndGrowOld(t *testing.T) {
	var o succession.Opinions
	o.Hear("p", succession.Opinion{Host: "a", Dead: true}, 100*ms)
	o.Hear("p", succession.Opinion{Host: "b"}, 300*ms)
	require.Equal(t, []string{"a"}, succession.Suspecting(o.Of("p", 400*ms)))
	o.Hear("p", succession.Opinion{Host: "a"}, 50*ms)
	require.Equal(t, []string{"a"}, succession.Suspecting(o.Of("p", 400*ms)), "an answer that was overtaken")
	require.Len(t, o.Of("p", 700*ms), 1)
	require.Empty(t, o.Of("q", 400*ms))
	o.Hear("q", succession.Opinion{Host: "b", Dead: true}, 500*ms)
	require.Empty(t, o.Of("p", 500*ms))
	require.Len(t, o.Of("q", 500*ms), 1)
}
