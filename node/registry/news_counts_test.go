package registry

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

// TestNewsAreCountedByTheirWay: an operator sees whether a host hears of the store
// itself, from its relay or from other hosts, and what it tells.
func TestNewsAreCountedByTheirWay(t *testing.T) {
	r := relayAt(6, 4, store.Item{Key: "a", Revision: 6})
	r.docs = platform.Documents{}
	r.apply(listing(7, livingItem("m", 7, 1, 500)))
	r.direct = false
	r.takeNews(News{Listing: listing(8, livingItem("m", 8, 2, 500), livingItem("n", 8, 2, 500))})
	r.applyRelayed(listing(9, livingItem("o", 9, 1, 500)), "another host")
	firstNews(t, r, 3)
	require.Equal(t, NewsCounts{FromStore: 1, FromRelay: 2, FromPeers: 1}, r.TakeNewsCounts(), "news that were not sent are not counted")
	require.Zero(t, r.TakeNewsCounts())
}

func TestFollowerThatIsAheadIsLogged(t *testing.T) {
	var lines bytes.Buffer
	r := relayAt(6, 4, store.Item{Key: "a", Revision: 6})
	r.log = zerolog.New(&lines)
	firstNews(t, r, 6)
	require.Empty(t, lines.String())
	firstNews(t, r, 9)
	require.Contains(t, lines.String(), `"event":614`)
	require.Contains(t, lines.String(), `"after":"0.9","revision":"0.6"`)
}
