package registry

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

// heartbeatItem returns a member's entry with a heartbeat sequence and a start time.
func heartbeatItem(id string, revision store.Revision, sequence, startedAt uint64) store.Item {
	value := fmt.Sprintf(`{"service":"svc","address":"10.1.0.9:8080","zone":"z","version":"v1","capacity":2,"state":"ready","cold_left_ms":0,"db_role":"replica","sequence":%d,"born":%d}`, sequence, startedAt)
	return store.Item{Key: "servers/" + id, Revision: revision, Value: []byte(value)}
}

// registryWithChangeCount returns a registry with one member, and the number of calls of
// its Changed function since.
func registryWithChangeCount() (*Registry, *int) {
	changes := 0
	r := New(Config{Documents: platform.Documents{}, Self: gates.Host{Name: "relay"}, Changed: func() { changes++ }, Log: zerolog.Nop()})
	r.replace(listing(1, heartbeatItem("m", 1, 1, 500)))
	changes = 0
	return r, &changes
}

// TestHeartbeatWithoutChangesIsNotPropagated checks that an entry which differs only in
// its sequence neither triggers a recomputation of the routing nor wakes followers.
func TestHeartbeatWithoutChangesIsNotPropagated(t *testing.T) {
	r, changes := registryWithChangeCount()
	_, changed, err := r.updateAfter(1)
	require.NoError(t, err)
	for sequence := range uint64(50) {
		revision := store.Revision(sequence + 2)
		r.apply(listing(revision, heartbeatItem("m", revision, sequence+2, 500)))
	}
	require.Zero(t, *changes)
	select {
	case <-changed:
		t.Fatal("followers were notified")
	default:
	}
	require.Empty(t, firstUpdate(t, r, 1).Items)
	require.EqualValues(t, 51, firstUpdate(t, r, 1).Revision, "followers continue from the newest revision")
}

func TestMemberRestartIsPropagated(t *testing.T) {
	r, changes := registryWithChangeCount()
	r.apply(listing(2, heartbeatItem("m", 2, 1, 900)))
	require.Equal(t, 1, *changes)
	require.Len(t, firstUpdate(t, r, 1).Items, 1)
}

// TestDisputedStartTimeReachesFollowers guards against followers that never accept an
// earlier start time. It takes two entries in a row, and the relay does not propagate
// further ones, so followers need the first.
func TestDisputedStartTimeReachesFollowers(t *testing.T) {
	r, _ := registryWithChangeCount()
	follower, _ := registryWithChangeCount()
	for revision := store.Revision(2); revision < 5; revision++ {
		r.apply(listing(revision, heartbeatItem("m", revision, uint64(revision), 300)))
		follower.applyUpdate(firstUpdate(t, r, revision-1))
	}
	require.Equal(t, r.MembersOf("svc")[0].StartedAt, follower.MembersOf("svc")[0].StartedAt)
	require.EqualValues(t, 300, follower.MembersOf("svc")[0].StartedAt)
}

// TestLocksAndSuspicionsDoNotChangeRouting: promoters read them on demand.
func TestLocksAndSuspicionsDoNotChangeRouting(t *testing.T) {
	r, changes := registryWithChangeCount()
	r.apply(listing(3, store.Item{Key: lockKey("svc"), Revision: 2, Value: []byte("h1")}, store.Item{Key: suspicionKey("svc", "m", "h1"), Revision: 3, Value: encodeSuspicion(0)}))
	require.Zero(t, *changes)
	require.Len(t, firstUpdate(t, r, 1).Items, 2, "followers receive them")
	require.Equal(t, "h1", r.LockOf("svc").Holder)
}
