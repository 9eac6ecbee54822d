package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/balance"
)

const ms = time.Millisecond

func first(c ...balance.Candidate) string { return balance.Rank(c)[0].ID }

func TestPrefersNearReplica(t *testing.T) {
	require.Equal(t, "near", first(
		balance.Candidate{ID: "far", RoundTrip: 30 * ms, ResponseTime: 15 * ms, HasIdleConn: true, Slots: 2},
		balance.Candidate{ID: "near", RoundTrip: ms, ResponseTime: 15 * ms, HasIdleConn: true, Slots: 2},
	))
}

// TestBusyNearReplicaSpillsToFarReplica checks that a remote replica is preferred
// once the queue of the nearest one costs more than the round trip.
func TestBusyNearReplicaSpillsToFarReplica(t *testing.T) {
	near := balance.Candidate{ID: "near", RoundTrip: ms, ResponseTime: 15 * ms, HasIdleConn: true, Slots: 2}
	far := balance.Candidate{ID: "far", RoundTrip: 30 * ms, ResponseTime: 15 * ms, HasIdleConn: true, Slots: 2}
	near.InUse = 2
	require.Equal(t, "near", first(near, far))
	near.InUse, near.Waiting = 3, 4
	require.Equal(t, "far", first(near, far))
}

func TestPrefersReplicaOverPrimary(t *testing.T) {
	primary := balance.Candidate{ID: "primary", Primary: true, RoundTrip: ms, ResponseTime: 15 * ms, HasIdleConn: true, Slots: 2}
	replica := balance.Candidate{ID: "replica", RoundTrip: 30 * ms, ResponseTime: 15 * ms, HasIdleConn: true, Slots: 2}
	require.Equal(t, "replica", first(primary, replica))
	replica.Lagging = true
	require.Equal(t, "primary", first(primary, replica))
}

// TestPrefersRemoteReplicaOverLocalPrimary checks that callers in the primary's zone
// read from replicas in other regions until these are overloaded.
func TestPrefersRemoteReplicaOverLocalPrimary(t *testing.T) {
	primary := balance.Candidate{ID: "primary", Primary: true, RoundTrip: ms, ResponseTime: 15 * ms, HasIdleConn: true, Slots: 2}
	replica := balance.Candidate{ID: "replica", RoundTrip: 40 * ms, ResponseTime: 20 * ms, InUse: 2, HasIdleConn: true, Slots: 2}
	require.Equal(t, "replica", first(primary, replica))
	replica.InUse, replica.Waiting = 4, 8
	require.Equal(t, "primary", first(primary, replica), "the primary serves reads once the replica's queue exceeds the penalty")
}

func TestUnhealthyMembersRankLast(t *testing.T) {
	order := balance.Rank([]balance.Candidate{
		{ID: "suspect", Suspect: true, Slots: 2}, {ID: "entry missing", EntryMissing: true, Slots: 2},
		{ID: "slow", ResponseTime: 500 * ms, InUse: 4, Slots: 2},
	})
	require.Equal(t, "slow", order[0].ID)
	require.Equal(t, "entry missing", order[1].ID)
	require.Len(t, order, 3, "unhealthy members stay in the list as a last resort")
}

// TestEjectedMemberRanksBehindLaggingOne guards against reads on a member that fails while
// another one may still serve them, and against reads on one that does not answer at all.
func TestEjectedMemberRanksBehindLaggingOne(t *testing.T) {
	order := balance.Rank([]balance.Candidate{
		{ID: "suspect", Suspect: true, Slots: 2}, {ID: "ejected", Ejected: true, Slots: 2},
		{ID: "lagging", Lagging: true, Slots: 2}, {ID: "slow", ResponseTime: 500 * ms, InUse: 4, Slots: 2},
	})
	var ids []string
	for _, c := range order {
		ids = append(ids, c.ID)
	}
	require.Equal(t, []string{"slow", "lagging", "ejected", "suspect"}, ids)
}
