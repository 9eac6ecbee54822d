package registry

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

// rangeCountingStore answers listings from items and counts them by prefix.
type rangeCountingStore struct {
	Store
	items    []store.Item
	revision store.Revision
	calls    map[string]int
}

func (s *rangeCountingStore) Range(_ context.Context, prefix string, _ func()) (store.Listing, error) {
	s.calls[prefix]++
	l := store.Listing{Revision: s.revision}
	for _, i := range s.items {
		if len(i.Key) >= len(prefix) && i.Key[:len(prefix)] == prefix {
			l.Items = append(l.Items, i)
		}
	}
	return l, nil
}

// startInFleet lists the store on a starting host in a fleet of the given size. Each of
// the answers is another host's snapshot; a zero revision stands for a failure.
func startInFleet(t *testing.T, hosts int, answers ...store.Revision) (*Registry, *rangeCountingStore, int) {
	t.Helper()
	s := &rangeCountingStore{revision: revisionInEpoch(t, 2, 20), calls: map[string]int{}}
	for i := range hosts {
		h := gates.Host{Name: fmt.Sprint("host-", i), Zone: "z", Address: fmt.Sprint("address-", i)}
		s.items = append(s.items, store.Item{Key: hostKey(h.Name), Value: encodeRegistration(roster.Registration{Host: h, Epoch: 2}), Revision: s.revision})
	}
	asked := 0
	r := New(Config{
		Store: s, Documents: platform.Documents{}, Self: gates.Host{Name: "self", Zone: "z"}, Changed: func() {}, Log: zerolog.Nop(),
		FetchSnapshot: func(context.Context, string) (store.Listing, error) {
			answer := answers[asked]
			asked++
			if answer == 0 {
				return store.Listing{}, errors.New("unreadable")
			}
			return store.Listing{Revision: answer, Items: s.items}, nil
		},
	})
	require.NoError(t, r.syncOnce(t.Context()))
	require.Len(t, r.Hosts(), hosts)
	return r, s, asked
}

// TestStartingHostOfALargeFleetDoesNotListTheStore guards against a store whose link is
// filled by the listings of hundreds of hosts that start together.
func TestStartingHostOfALargeFleetDoesNotListTheStore(t *testing.T) {
	snapshot := revisionInEpoch(t, 2, 18)
	r, s, asked := startInFleet(t, relay.MinFleetForSnapshots, 0, snapshot)
	require.Equal(t, map[string]int{hostPrefix: 1}, s.calls)
	require.Equal(t, 2, asked, "the first host has none")
	require.Equal(t, snapshot, r.State().Revision, "newer changes are asked for")
}

// TestStartingHostListsTheStoreWithoutAUsableSnapshot covers failures and a snapshot from
// before the store was restored.
func TestStartingHostListsTheStoreWithoutAUsableSnapshot(t *testing.T) {
	r, s, asked := startInFleet(t, relay.MinFleetForSnapshots, 0, revisionInEpoch(t, 1, 300), 0)
	require.Equal(t, map[string]int{hostPrefix: 1, "": 1}, s.calls)
	require.Equal(t, 3, asked)
	require.Equal(t, s.revision, r.State().Revision)
}

func TestStartingHostOfASmallFleetListsTheStore(t *testing.T) {
	_, s, asked := startInFleet(t, relay.MinFleetForSnapshots-1)
	require.Equal(t, map[string]int{hostPrefix: 1, "": 1}, s.calls)
	require.Zero(t, asked)
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
