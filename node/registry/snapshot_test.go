package registry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/bootstrap"
	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/platform"
	"github.com/dotterelswitch/dotterelswitch/standin/simtime"
)

// pageSize is the number of keys in one answer of rangeCountingStore.
const pageSize = 10

// rangeCountingStore answers listings from items and counts the answers by prefix. It
// carries out conditional writes of one key.
type rangeCountingStore struct {
	Store
	items    []store.Item
	revision store.Revision
	calls    map[string]int
	claims   int
}

func (s *rangeCountingStore) Range(ctx context.Context, prefix string, onPage func(bool)) (store.Listing, error) {
	l := store.Listing{Revision: s.revision}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) {
			l.Items = append(l.Items, i)
		}
	}
	for rest := len(l.Items); ; rest -= pageSize {
		s.calls[prefix]++
		if onPage != nil {
			onPage(rest > pageSize)
		}
		if rest <= pageSize || ctx.Err() != nil {
			return l, ctx.Err()
		}
	}
}

func (s *rangeCountingStore) Commit(_ context.Context, txn store.Txn) (store.Revision, error) {
	condition, write := txn.Conditions[0], txn.Writes[0]
	at := slices.IndexFunc(s.items, func(i store.Item) bool { return i.Key == condition.Key })
	if at < 0 {
		s.items = append(s.items, store.Item{Key: condition.Key})
		at = len(s.items) - 1
	}
	s.claims++
	if current := s.items[at]; current.Revision != condition.Revision {
		return 0, &store.Error{Failure: store.Conflict, Current: []store.Item{current}}
	}
	s.revision++
	s.items[at] = store.Item{Key: write.Key, Value: write.Value, Revision: s.revision}
	return s.revision, nil
}

// putSources writes the record of a zone.
func (s *rangeCountingStore) putSources(t *testing.T, zone string, sources ...gates.Host) {
	t.Helper()
	value, err := encodeSources(sources)
	require.NoError(t, err)
	s.items = append(s.items, store.Item{Key: sourcesKey(zone), Value: value, Revision: s.revision})
}

// storeOfFleet is a store with the registrations of hosts of one zone, and fleetOf returns
// these hosts.
func storeOfFleet(t *testing.T, hosts int) *rangeCountingStore {
	t.Helper()
	s := &rangeCountingStore{revision: revisionInEpoch(t, 2, 20), calls: map[string]int{}}
	for _, h := range fleetOf(hosts) {
		s.items = append(s.items, store.Item{Key: hostKey(h.Name), Value: encodeRegistration(roster.Registration{Host: h, Epoch: 2}), Revision: s.revision})
	}
	return s
}

func fleetOf(hosts int) []gates.Host {
	var fleet []gates.Host
	for i := range hosts {
		fleet = append(fleet, gates.Host{Name: fmt.Sprint("host-", i), Zone: "z", Address: fmt.Sprint("address-", i)})
	}
	return fleet
}

// errSilentSource is the error of a source that does not answer.
var errSilentSource = errors.New("no answer")

// startBeside lists the store on a starting host. Each of the answers is another host's
// snapshot; a zero revision stands for a host that answers and has none, and the requests
// after the last one are not answered.
func startBeside(t *testing.T, s *rangeCountingStore, answers ...store.Revision) (r *Registry, asked int) {
	t.Helper()
	content := slices.Clone(s.items)
	r = New(Config{
		Now:   simulatedClock(),
		Store: s, Documents: platform.Documents{}, Self: gates.Host{Name: "self", Zone: "z"}, Changed: func() {}, Log: zerolog.Nop(),
		FetchSnapshot: func(context.Context, string) (store.Listing, error) {
			asked++
			switch {
			case asked > len(answers):
				return store.Listing{}, errSilentSource
			case answers[asked-1] == 0:
				return store.Listing{}, &RelayRefusedError{Err: errNoStoreContact}
			}
			return store.Listing{Revision: answers[asked-1], Items: content}, nil
		},
	})
	require.NoError(t, r.syncOnce(t.Context()))
	return r, asked
}

// simulatedClock returns a clock that runs with time.Now, in a bubble of synctest too.
func simulatedClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) + 1 }
}

// largeFleet is a number of hosts whose registrations take many pages.
const largeFleet = relay.MinFleetForSources

// TestStartingHostOfALargeFleetDoesNotListTheStore guards against a store whose link is
// filled by the listings of hundreds of hosts that start together: one small call is all
// that a host makes.
func TestStartingHostOfALargeFleetDoesNotListTheStore(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		s, snapshot := storeOfFleet(t, largeFleet), revisionInEpoch(t, 2, 18)
		s.putSources(t, "z", fleetOf(3)...)
		r, asked := startBeside(t, s, 0, snapshot)
		require.Equal(t, map[string]int{sourcesKey("z"): 1}, s.calls)
		require.Zero(t, s.claims)
		require.Equal(t, 2, asked, "the first host has none")
		require.Equal(t, snapshot, r.State().Revision, "newer changes are asked for")
		require.Len(t, r.Hosts(), largeFleet)
	})
}

// TestHostsThatStartTogetherDoNotAllListTheStore guards against a start of a whole fleet
// that takes the store's link for seconds: a host that is no source waits until one has a
// copy.
func TestHostsThatStartTogetherDoNotAllListTheStore(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		s, snapshot := storeOfFleet(t, largeFleet), revisionInEpoch(t, 2, 18)
		s.putSources(t, "z", fleetOf(3)...)
		// Two rounds of three sources have no copy yet.
		_, asked := startBeside(t, s, 0, 0, 0, 0, 0, 0, snapshot)
		require.Equal(t, map[string]int{sourcesKey("z"): 1}, s.calls)
		require.Zero(t, s.claims)
		require.Equal(t, 7, asked)
	})
}

// TestSourceListsTheStoreAtOnce: the others of its zone wait for it.
func TestSourceListsTheStoreAtOnce(t *testing.T) {
	s := storeOfFleet(t, largeFleet)
	s.putSources(t, "z", gates.Host{Name: "host-1"}, gates.Host{Name: "self"})
	r, asked := startBeside(t, s)
	require.Zero(t, asked)
	require.Equal(t, map[string]int{sourcesKey("z"): 1, "": largeFleet/pageSize + 1}, s.calls)
	require.Len(t, r.Hosts(), largeFleet)
}

// TestHostTakesThePlaceOfASourceThatDoesNotAnswer: the sources may be gone for good. It
// lists the store only once the record names it.
func TestHostTakesThePlaceOfASourceThatDoesNotAnswer(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		s := storeOfFleet(t, largeFleet)
		s.putSources(t, "z", fleetOf(3)...)
		start := time.Now()
		_, _ = startBeside(t, s)
		require.Equal(t, 1, s.claims)
		require.Equal(t, largeFleet/pageSize+1, s.calls[""])
		record := (&Registry{}).sourcesIn(s.items, "z")
		require.Len(t, record.Sources, 1)
		require.True(t, record.Names("self"))
		require.LessOrEqual(t, time.Since(start), 2*time.Second)
	})
}

// TestHostWaitsForTheOneThatTookTheLastPlace guards against hosts that all list the store
// after their sources have failed: of those that try, the store accepts one.
func TestHostWaitsForTheOneThatTookTheLastPlace(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		s, snapshot := storeOfFleet(t, largeFleet), revisionInEpoch(t, 2, 18)
		fleet := fleetOf(5)
		s.putSources(t, "z", fleet[:3]...)
		taken, err := encodeSources(fleet[2:5])
		require.NoError(t, err)
		asked := 0
		r := New(Config{
			Now:   simulatedClock(),
			Store: s, Documents: platform.Documents{}, Self: gates.Host{Name: "self", Zone: "z"}, Changed: func() {}, Log: zerolog.Nop(),
			FetchSnapshot: func(_ context.Context, address string) (store.Listing, error) {
				asked++
				switch {
				case asked == 3:
					_, err := s.Commit(t.Context(), store.Txn{
						Conditions: []store.Condition{{Key: sourcesKey("z"), Revision: s.revision}},
						Writes:     []store.Write{{Key: sourcesKey("z"), Value: taken}},
					})
					require.NoError(t, err)
				case address == fleet[4].Address:
					return store.Listing{Revision: snapshot, Items: s.items}, nil
				}
				return store.Listing{}, errSilentSource
			},
		})
		require.NoError(t, r.syncOnce(t.Context()))
		require.Equal(t, map[string]int{sourcesKey("z"): 1}, s.calls)
		require.Equal(t, 2, s.claims, "one of them is refused")
	})
}

// TestSnapshotFromBeforeARestoreIsRefused: the store has been restored since.
func TestSnapshotFromBeforeARestoreIsRefused(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		s, current := storeOfFleet(t, largeFleet), revisionInEpoch(t, 2, 18)
		s.putSources(t, "z", fleetOf(3)...)
		r, asked := startBeside(t, s, revisionInEpoch(t, 1, 300), current)
		require.Equal(t, 2, asked)
		require.Equal(t, current, r.State().Revision)
		require.Zero(t, s.calls[""])
	})
}

// TestFirstHostOfALargeStoreBecomesASource: there is no record yet.
func TestFirstHostOfALargeStoreBecomesASource(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		s := storeOfFleet(t, largeFleet-1)
		_, asked := startBeside(t, s)
		require.Zero(t, asked)
		require.Equal(t, map[string]int{sourcesKey("z"): 1, "": largeFleet / pageSize}, s.calls)
		require.True(t, (&Registry{}).sourcesIn(s.items, "z").Names("self"))
	})
}

// TestStartWithASmallStoreMakesTwoCalls, the first of them small: callers wait meanwhile.
func TestStartWithASmallStoreMakesTwoCalls(t *testing.T) {
	s := storeOfFleet(t, pageSize)
	_, asked := startBeside(t, s)
	require.Equal(t, map[string]int{sourcesKey("z"): 1, "": 1}, s.calls)
	require.Zero(t, s.claims)
	require.Zero(t, asked)
}

// TestRunningFleetKeepsTheRecordOfItsSources: the host that ranks first in its zone writes
// the record, and only when it changes.
func TestRunningFleetKeepsTheRecordOfItsSources(t *testing.T) {
	s := storeOfFleet(t, largeFleet)
	fleet := fleetOf(largeFleet)
	first := relay.Sources(fleet[0], fleet)[0]
	r := New(Config{Store: s, Documents: platform.Documents{}, Self: first, Changed: func() {}, Log: zerolog.Nop()})
	require.NoError(t, r.syncOnce(t.Context()))
	require.Len(t, r.sourcesDue, 1, "the zone has none yet")
	for range 2 {
		r.maintainSources(t.Context())
		require.Equal(t, 1, s.claims)
		r.applyOtherKey(s.items[len(s.items)-1])
	}
	record := r.sourcesIn(s.items, "z")
	require.True(t, record.SameSources(relay.Sources(first, fleet)))

	other := New(Config{Store: s, Documents: platform.Documents{}, Self: fleet[slices.IndexFunc(fleet, func(h gates.Host) bool { return !record.Names(h.Name) })], Changed: func() {}, Log: zerolog.Nop()})
	require.NoError(t, other.syncOnce(t.Context()))
	other.coordination.sources["z"] = bootstrap.Record{}
	other.maintainSources(t.Context())
	require.Equal(t, 1, s.claims)
}

// TestUnreadableRecordIsReplaced: its hosts can not be asked.
func TestUnreadableRecordIsReplaced(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		s := storeOfFleet(t, largeFleet)
		s.items = append(s.items, store.Item{Key: sourcesKey("z"), Value: []byte("{"), Revision: s.revision})
		_, _ = startBeside(t, s)
		require.Equal(t, 1, s.claims)
		require.True(t, (&Registry{}).sourcesIn(s.items, "z").Names("self"))
	})
}

// TestHostWithoutStoreContactGivesNoSnapshot: what it knows may be long outdated.
func TestHostWithoutStoreContactGivesNoSnapshot(t *testing.T) {
	r := relayAt(6, 4, store.Item{Key: "a", Revision: 6})
	l, err := r.Snapshot()
	require.NoError(t, err)
	require.Len(t, l.Items, 1)
	r.link.Failed(clock.Now())
	_, err = r.Snapshot()
	require.ErrorIs(t, err, errNoStoreContact)
}

// TestHostsThatLoseTheirHistoryTogetherDoNotAllListTheStore guards against a store that
// forgets its history and is then listed by each host of a fleet. A copy from before that
// is refused.
func TestHostsThatLoseTheirHistoryTogetherDoNotAllListTheStore(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		started := revisionInEpoch(t, 2, 18)
		outdated, current := revisionInEpoch(t, 2, 24), revisionInEpoch(t, 2, 30)
		s := storeOfFleet(t, largeFleet)
		s.putSources(t, "z", fleetOf(3)...)
		r, _ := startBeside(t, s, started, outdated, outdated, outdated, current)
		s.revision = revisionInEpoch(t, 2, 25)
		clear(s.calls)
		r.catalog = &catalog.Catalog{Version: 1}
		r.requireRelist(errors.New("compacted"))
		require.NoError(t, r.syncOnce(t.Context()))
		require.Equal(t, map[string]int{sourcesKey("z"): 1}, s.calls)
		require.Equal(t, current, r.State().Revision)
	})
}

// TestSourceListsTheStoreAfterALostHistory: the others wait for its copy.
func TestSourceListsTheStoreAfterALostHistory(t *testing.T) {
	s := storeOfFleet(t, largeFleet)
	s.putSources(t, "z", gates.Host{Name: "self"})
	r, asked := startBeside(t, s)
	clear(s.calls)
	r.catalog = &catalog.Catalog{Version: 1}
	r.requireRelist(errors.New("compacted"))
	require.NoError(t, r.syncOnce(t.Context()))
	require.Zero(t, asked)
	require.Equal(t, map[string]int{sourcesKey("z"): 1, "": largeFleet/pageSize + 1}, s.calls)
}
