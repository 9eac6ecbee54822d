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

// livingItem is a heartbeat of a member in one of its lives.
func livingItem(id string, revision store.Revision, beat, startedAt uint64) store.Item {
	value := fmt.Sprintf(`{"service":"svc","address":"10.1.0.9:8080","zone":"z","version":"v1","capacity":2,"state":"ready","cold_left_ms":0,"db_role":"replica","sequence":%d,"born":%d}`, beat, startedAt)
	return store.Item{Key: "servers/" + id, Revision: revision, Value: []byte(value)}
}

// countingRegistry returns a registry that follows the store, and how often it
// has had routing worked out anew.
func countingRegistry() (*Registry, *int) {
	changes := 0
	r := New(Config{Documents: platform.Documents{}, Self: gates.Host{Name: "relay"}, Changed: func() { changes++ }, Log: zerolog.Nop()})
	r.replace(listing(1, livingItem("m", 1, 1, 500)))
	changes = 0
	return r, &changes
}

// TestEntryWrittenAgainIsNoNews replays members that write their entries again and
// again with nothing new but a count. Neither is routing worked out anew for it nor
// are followers told.
func TestEntryWrittenAgainIsNoNews(t *testing.T) {
	r, changes := countingRegistry()
	_, woken, err := r.newsAfter(1)
	require.NoError(t, err)
	for beat := range uint64(50) {
		revision := store.Revision(beat + 2)
		r.apply(listing(revision, livingItem("m", revision, beat+2, 500)))
	}
	require.Zero(t, *changes)
	select {
	case <-woken:
		t.Fatal("followers were woken")
	default:
	}
	require.Empty(t, firstNews(t, r, 1).Items)
	require.EqualValues(t, 51, firstNews(t, r, 1).Revision, "followers go on from the newest revision")
}

func TestNewLifeOfAMemberIsNews(t *testing.T) {
	r, changes := countingRegistry()
	r.apply(listing(2, livingItem("m", 2, 1, 900)))
	require.Equal(t, 1, *changes)
	require.Len(t, firstNews(t, r, 1).Items, 1)
}

// TestFollowersHearOfADoubtfulLife: an earlier start time counts once it is
// written twice in a row. A follower that was spared the first of the two would
// wait for a third, which is no news to the relay.
func TestFollowersHearOfADoubtfulLife(t *testing.T) {
	r, _ := countingRegistry()
	follower, _ := countingRegistry()
	for revision := store.Revision(2); revision < 5; revision++ {
		r.apply(listing(revision, livingItem("m", revision, uint64(revision), 300)))
		follower.takeNews(firstNews(t, r, revision-1))
	}
	require.Equal(t, r.Groups()["svc"][0].StartedAt, follower.Groups()["svc"][0].StartedAt)
	require.EqualValues(t, 300, follower.Groups()["svc"][0].StartedAt)
}

// TestLockMovesNoRouting: promotions look for locks and reports themselves.
func TestLockMovesNoRouting(t *testing.T) {
	r, changes := countingRegistry()
	r.apply(listing(3, store.Item{Key: lockKey("svc"), Revision: 2, Value: []byte("h1")}, store.Item{Key: suspectKey("svc", "m", "h1"), Revision: 3, Value: encodeReport(0)}))
	require.Zero(t, *changes)
	require.Len(t, firstNews(t, r, 1).Items, 2, "followers need them")
	require.Equal(t, "h1", r.LockOf("svc").Holder)
}
