package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

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

func unreadableItem(id string, revision store.Revision) store.Item {
	return store.Item{Key: "servers/" + id, Revision: revision, Value: []byte("{")}
}

// newRegistryWithFailingStore returns a registry whose store fails all listings, and
// its log.
func newRegistryWithFailingStore() (*Registry, *bytes.Buffer) {
	var log bytes.Buffer
	// A missing entry triggers a listing, which may run after the end of the test.
	unavailable := &unresponsiveStore{err: errors.New("unavailable")}
	return New(Config{Store: unavailable, Documents: platform.Documents{}, Self: gates.Host{Name: "self"}, Changed: func() {}, Log: zerolog.New(&log)}), &log
}

func listing(revision store.Revision, items ...store.Item) store.Listing {
	return store.Listing{Revision: revision, Items: items}
}

func missingByID(r *Registry) map[string]bool {
	out := map[string]bool{}
	for _, m := range r.MembersOf("svc") {
		out[m.ID] = m.Missing
	}
	return out
}

// TestUnreadableEntryDoesNotAffectOthers checks that an unreadable entry adds no member,
// neither by listing nor by watch, and that the other entries are applied.
func TestUnreadableEntryDoesNotAffectOthers(t *testing.T) {
	r, log := newRegistryWithFailingStore()
	r.replace(listing(9, unreadableItem("x", 3), memberItem("a", 4), unreadableItem("y", 5), memberItem("b", 6)))
	require.Equal(t, map[string]bool{"a": false, "b": false}, missingByID(r))
	r.replace(listing(10, unreadableItem("x", 3), memberItem("a", 4), unreadableItem("y", 5), memberItem("b", 6)))
	require.Equal(t, 2, strings.Count(log.String(), "upstream_entry_unreadable"), "logged once per change, not once per listing")
	r.apply(listing(12, unreadableItem("x", 11)))
	require.Equal(t, 3, strings.Count(log.String(), "upstream_entry_unreadable"))
	require.Len(t, r.MembersOf("svc"), 2)
}

// TestLinesAboutUnreadableEntriesAreBounded guards against a log that another writer fills
// by changing entries which cannot be decoded. What is left out is counted, also if no
// further entry is logged.
func TestLinesAboutUnreadableEntriesAreBounded(t *testing.T) {
	r, log := newRegistryWithFailingStore()
	r.now = func() time.Duration { return time.Minute }
	const entries, changes, maxLines = 500, 4, 50
	for change := range changes {
		l := listing(store.Revision(change + 2))
		for i := range entries {
			l.Items = append(l.Items, unreadableItem(fmt.Sprint(i), l.Revision))
		}
		r.apply(l)
	}
	r.logUnreadableLeftOut()
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	require.LessOrEqual(t, len(lines), maxLines)
	told := 0
	for _, line := range lines {
		var decoded struct {
			Key     string
			LeftOut int `json:"left_out"`
		}
		require.NoError(t, json.Unmarshal([]byte(line), &decoded))
		told += decoded.LeftOut
		if decoded.Key != "" {
			told++
		}
	}
	require.Equal(t, entries*changes, told)
}

// TestUnreadableEntriesTakeLittleMemory guards against a copy of the store, and of what is
// sent to followers, that grows with what another writer leaves.
func TestUnreadableEntriesTakeLittleMemory(t *testing.T) {
	r, _ := newRegistryWithFailingStore()
	large := store.Item{Key: "servers/x", Value: bytes.Repeat([]byte("["), 60_000), Revision: 3}
	r.replace(listing(4, large))
	require.Less(t, len(r.items[large.Key].Value), 100)
	large.Revision = 5
	r.apply(listing(5, large))
	require.Less(t, len(r.items[large.Key].Value), 100)
	for _, i := range r.history {
		require.Less(t, len(i.Value), 100)
	}
	r.replace(listing(6))
	require.Empty(t, r.unreadable, "what is remembered of an entry ends with it")
}

// oversizedStore has more changes than a watch may return and does not end a listing of all
// keys.
type oversizedStore struct {
	Store
	config store.Item
}

func (s oversizedStore) Watch(context.Context, string, store.Revision, time.Duration) (store.Listing, error) {
	return store.Listing{}, &store.Error{Call: "watch", Failure: store.Oversized}
}

func (s oversizedStore) Range(ctx context.Context, prefix string, _ func(bool)) (store.Listing, error) {
	if prefix != s.config.Key {
		<-ctx.Done()
		return store.Listing{}, ctx.Err()
	}
	return listing(s.config.Revision, s.config), nil
}

// TestConfigurationIsReadBeforeLargeListing guards against a configuration that takes effect
// only at the end of a listing which another writer has made large.
func TestConfigurationIsReadBeforeLargeListing(t *testing.T) {
	r, _ := newRegistryWithFailingStore()
	require.NoError(t, r.replace(listing(4, configItem(t, 0, 4, 2))))
	r.store = oversizedStore{config: configItem(t, 0, 9, 3)}
	require.NoError(t, r.syncOnce(t.Context()))
	require.EqualValues(t, 3, r.Catalog().Version)
	require.True(t, r.relistDue(), "the members are listed too")
}

// TestRegistrationThatNoHostHasWrittenIsIgnored guards against gates and voters that nobody
// can call: statements that are handed to them are in doubt.
func TestRegistrationThatNoHostHasWrittenIsIgnored(t *testing.T) {
	r, log := newRegistryWithFailingStore()
	r.validAddress = func(address string) bool { return address == "10.1.0.1:7000" }
	sound := store.Item{Key: hostKey("sound"), Value: []byte("a 10.1.0.1:7000 0 2 1000 100"), Revision: 3}
	values := []string{"", " ", "a", "a 10.1.0.1", "a 10.1.0.1:7000 0 2 -5 0", "a 10.1.0.1:7000 0 2 0 9223372036854775807", "a 10.1.0.1:7000 " + strings.Repeat("9", 5000)}
	l := listing(4, sound, store.Item{Key: hostKey(""), Value: sound.Value, Revision: 3})
	for i, value := range values {
		l.Items = append(l.Items, store.Item{Key: hostKey(fmt.Sprint("odd-", i)), Value: []byte(value), Revision: 3})
	}
	require.NoError(t, r.replace(l))
	require.Equal(t, []string{"sound"}, r.Hosts())
	for i := range l.Items[1:] {
		l.Items[i+1].Revision = 5
	}
	r.apply(listing(5, l.Items[1:]...))
	require.Equal(t, []string{"sound"}, r.Hosts())
	sound.Value, sound.Revision = nil, 6
	r.apply(listing(6, sound))
	require.Empty(t, r.Hosts(), "one that is overwritten")
	require.Contains(t, log.String(), "upstream_entry_unreadable")
}

// TestOverwrittenEntryIsMissingUntilRewritten covers changes by watch and by listing.
func TestOverwrittenEntryIsMissingUntilRewritten(t *testing.T) {
	r, _ := newRegistryWithFailingStore()
	r.replace(listing(5, memberItem("a", 4), memberItem("b", 5)))
	r.apply(listing(6, unreadableItem("a", 6)))
	require.Equal(t, map[string]bool{"a": true, "b": false}, missingByID(r))
	r.apply(listing(7, memberItem("a", 7)))
	require.Equal(t, map[string]bool{"a": false, "b": false}, missingByID(r))
	r.replace(listing(9, unreadableItem("a", 8), memberItem("b", 5)))
	require.Equal(t, map[string]bool{"a": true, "b": false}, missingByID(r))
	r.replace(listing(11, memberItem("a", 10), memberItem("b", 5)))
	require.Equal(t, map[string]bool{"a": false, "b": false}, missingByID(r))
}

// TestMemberWithUnreadableEntryExpires checks that an unreadable entry does not keep a
// member registered.
func TestMemberWithUnreadableEntryExpires(t *testing.T) {
	r, _ := newRegistryWithFailingStore()
	r.replace(listing(5, memberItem("a", 4)))
	r.apply(listing(6, unreadableItem("a", 6)))
	r.mu.Lock()
	const farFuture = 1 << 62
	expired := r.directory.Expire(farFuture)
	r.mu.Unlock()
	require.Len(t, expired, 1)
	require.Equal(t, "a", expired[0].ID)
	r.replace(listing(8, unreadableItem("a", 6)))
	require.Empty(t, r.MembersOf("svc"))
}

// TestFollowersDecodeRelayedEntries checks that unreadable entries, which a relay passes
// on undecoded, do not affect a follower.
func TestFollowersDecodeRelayedEntries(t *testing.T) {
	r, _ := newRegistryWithFailingStore()
	r.applyUpdate(Update{Listing: listing(7, unreadableItem("x", 3), memberItem("a", 4)), Complete: true})
	r.applyUpdate(Update{Listing: listing(9, unreadableItem("y", 8), memberItem("b", 9))})
	require.Equal(t, map[string]bool{"a": false, "b": false}, missingByID(r))
}
