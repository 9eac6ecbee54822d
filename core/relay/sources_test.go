package relay_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
)

func TestSnapshotSourcesHaveTheFastestLinksOfTheZone(t *testing.T) {
	var fleet []gates.Host
	for i := range relay.MinFleetForSnapshots {
		h := gates.Host{Name: fmt.Sprint("host-", i), Zone: fmt.Sprint("zone-", i%2), LinkMbps: 20}
		if i < 8 {
			h.LinkMbps = 1000
		}
		fleet = append(fleet, h)
	}
	sources := relay.SnapshotSources(fleet[0], fleet)
	require.Len(t, sources, 3)
	for _, h := range sources {
		require.Equal(t, "zone-0", h.Zone)
		require.Equal(t, 1000, h.LinkMbps)
		require.NotEqual(t, fleet[0].Name, h.Name)
	}
	require.Empty(t, relay.SnapshotSources(fleet[0], fleet[:relay.MinFleetForSnapshots-1]), "a small fleet lists the store")
}
