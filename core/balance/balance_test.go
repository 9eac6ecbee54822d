package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/balance"
)

const ms = time.Millisecond

func first(c ...balance.Candidate) string { return balance.Order(c)[0].ID }

func TestPrefersNearReplica(t *testing.T) {
	require.Equal(t, "near", first(
		balance.Candidate{ID: "far", RoundTrip: 30 * ms, Answer: 15 * ms, Idle: true, Slots: 2},
		balance.Candidate{ID: "near", RoundTrip: ms, Answer: 15 * ms, Idle: true, Slots: 2},
	))
}

// TestSpillsOverWhenTheNearOneIsBusy replays a local surge: past a few
// statements in flight the far replica answers first.
func TestSpillsOverWhenTheNearOneIsBusy(t *testing.T) {
	near := balance.Candidate{ID: "near", RoundTrip: ms, Answer: 15 * ms, Idle: true, Slots: 2}
	far := balance.Candidate{ID: "far", RoundTrip: 30 * ms, Answer: 15 * ms, Idle: true, Slots: 2}
	near.InUse = 2
	require.Equal(t, "near", first(near, far))
	near.InUse, near.Waiting = 3, 4
	require.Equal(t, "far", first(near, far))
}

func TestKeepsThePrimaryForWrites(t *testing.T) {
	primary := balance.Candidate{ID: "primary", Primary: true, RoundTrip: ms, Answer: 15 * ms, Idle: true, Slots: 2}
	replica := balance.Candidate{ID: "replica", RoundTrip: 30 * ms, Answer: 15 * ms, Idle: true, Slots: 2}
	require.Equal(t, "replica", first(primary, replica))
	replica.Behind = true
	require.Equal(t, "primary", first(primary, replica))
}

// TestPrimaryOfTheOwnZoneIsKeptForWrites: callers in the primary's zone have the
// replicas a trip between regions away.
func TestPrimaryOfTheOwnZoneIsKeptForWrites(t *testing.T) {
	primary := balance.Candidate{ID: "primary", Primary: true, RoundTrip: ms, Answer: 15 * ms, Idle: true, Slots: 2}
	replica := balance.Candidate{ID: "replica", RoundTrip: 40 * ms, Answer: 20 * ms, InUse: 2, Idle: true, Slots: 2}
	require.Equal(t, "replica", first(primary, replica))
	replica.InUse, replica.Waiting = 4, 8
	require.Equal(t, "primary", first(primary, replica), "beyond a queue of a tenth of a second it helps out")
}

func TestMembersInDoubtComeLast(t *testing.T) {
	order := balance.Order([]balance.Candidate{
		{ID: "suspect", Suspect: true, Slots: 2}, {ID: "missing", Missing: true, Slots: 2},
		{ID: "slow", Answer: 500 * ms, InUse: 4, Slots: 2},
	})
	require.Equal(t, "slow", order[0].ID)
	require.Equal(t, "missing", order[1].ID)
	require.Len(t, order, 3, "a member in doubt is better than none")
}
