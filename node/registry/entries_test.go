package registry

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

func memberItem(id string, revision store.Revision) store.Item {
	value := `{"service":"svc","address":"10.1.0.9:8080","zone":"z","version":"v1","capacity":2,"state":"ready","cold_left_ms":0,"db_role":"replica","sequence":4}`
	return store.Item{Key: "servers/" + id, Revision: revision, Value: []byte(value)}
}

func badItem(id string, revision store.Revision) store.Item {
	return store.Item{Key: "servers/" + id, Revision: revision, Value: []byte("{")}
}

// testRegistry returns a registry without a store, and what it logs.
func testRegistry() (*Registry, *bytes.Buffer) {
	var log bytes.Buffer
	// What is lost is looked for again later, after the test.
	away := &wakingStore{fails: errors.New("unavailable")}
	return New(Config{Store: away, Documents: platform.Documents{}, Self: gates.Host{Name: "self"}, Changed: func() {}, Log: zerolog.New(&log)}), &log
}

func listing(revision store.Revision, items ...store.Item) store.Listing {
	return store.Listing{Revision: revision, Items: items}
}

func missing(r *Registry) map[string]bool {
	out := map[string]bool{}
	for _, m := range r.Groups()["svc"] {
		out[m.ID] = m.Missing
	}
	return out
}

// TestEntryOfAnotherWriterHidesNoOther: it names no member, in a listing as in a
// watch, and the other entries hold.
func TestEntryOfAnotherWriterHidesNoOther(t *testing.T) {
	r, log := testRegistry()
	r.replace(listing(9, badItem("x", 3), memberItem("a", 4), badItem("y", 5), memberItem("b", 6)))
	require.Equal(t, map[string]bool{"a": false, "b": false}, missing(r))
	r.replace(listing(10, badItem("x", 3), memberItem("a", 4), badItem("y", 5), memberItem("b", 6)))
	require.Equal(t, 2, strings.Count(log.String(), "upstream_entry_unreadable"), "once a change, not once a listing")
	r.apply(listing(12, badItem("x", 11)))
	require.Equal(t, 3, strings.Count(log.String(), "upstream_entry_unreadable"))
	require.Len(t, r.Groups()["svc"], 2)
}

// TestOverwrittenEntryIsMissingUntilItIsBack: by the watch and by a listing.
func TestOverwrittenEntryIsMissingUntilItIsBack(t *testing.T) {
	r, _ := testRegistry()
	r.replace(listing(5, memberItem("a", 4), memberItem("b", 5)))
	r.apply(listing(6, badItem("a", 6)))
	require.Equal(t, map[string]bool{"a": true, "b": false}, missing(r))
	r.apply(listing(7, memberItem("a", 7)))
	require.Equal(t, map[string]bool{"a": false, "b": false}, missing(r))
	r.replace(listing(9, badItem("a", 8), memberItem("b", 5)))
	require.Equal(t, map[string]bool{"a": true, "b": false}, missing(r))
	r.replace(listing(11, memberItem("a", 10), memberItem("b", 5)))
	require.Equal(t, map[string]bool{"a": false, "b": false}, missing(r))
}

// TestOverwrittenEntryThatStaysAwayIsGone: another writer's entry keeps no
// member alive.
func TestOverwrittenEntryThatStaysAwayIsGone(t *testing.T) {
	r, _ := testRegistry()
	r.replace(listing(5, memberItem("a", 4)))
	r.apply(listing(6, badItem("a", 6)))
	r.mu.Lock()
	gone := r.directory.Expire(1 << 62)
	r.mu.Unlock()
	require.Len(t, gone, 1)
	require.Equal(t, "a", gone[0].ID)
	r.replace(listing(8, badItem("a", 6)))
	require.Empty(t, r.Groups()["svc"])
}

// TestFollowersDecodeForThemselves: a relay passes entries on as they are.
func TestFollowersDecodeForThemselves(t *testing.T) {
	r, _ := testRegistry()
	r.takeNews(News{Listing: listing(7, badItem("x", 3), memberItem("a", 4)), Complete: true})
	r.takeNews(News{Listing: listing(9, badItem("y", 8), memberItem("b", 9))})
	require.Equal(t, map[string]bool{"a": false, "b": false}, missing(r))
}
