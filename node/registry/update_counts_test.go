package registry

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

// TestUpdatesAreCountedBySource covers the keys received from the store, a relay and
// peers.
func TestUpdatesAreCountedBySource(t *testing.T) {
	r := relayAt(6, 4, store.Item{Key: "a", Revision: 6})
	r.docs = platform.Documents{}
	r.apply(listing(7, heartbeatItem("m", 7, 1, 500)))
	r.link.Follow("another relay")
	r.applyUpdate(Update{Listing: listing(8, heartbeatItem("m", 8, 2, 500), heartbeatItem("n", 8, 2, 500))})
	r.applyPeerListing(listing(9, heartbeatItem("o", 9, 1, 500)), "another host")
	firstUpdate(t, r, 3)
	require.Equal(t, UpdateCounts{FromStore: 1, FromRelay: 2, FromPeers: 1}, r.TakeUpdateCounts(), "an update that was not sent is not counted")
	require.Zero(t, r.TakeUpdateCounts())
}

func TestFollowerAheadOfRelayIsLogged(t *testing.T) {
	var log bytes.Buffer
	r := relayAt(6, 4, store.Item{Key: "a", Revision: 6})
	r.log = zerolog.New(&log)
	firstUpdate(t, r, 6)
	require.Empty(t, log.String())
	firstUpdate(t, r, 9)
	require.Contains(t, log.String(), `"event":614`)
	require.Contains(t, log.String(), `"after":"0.9","revision":"0.6"`)
}
