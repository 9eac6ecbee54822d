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
	require.False(t, relay.AwaitsSnapshot(sources[0], fleet), "it is a source itself")
	require.True(t, relay.AwaitsSnapshot(fleet[8], fleet))
	require.False(t, relay.AwaitsSnapshot(fleet[8], fleet[:relay.MinFleetForSnapshots-1]))
	require.Empty(t, relay.SnapshotSources(fleet[0], fleet[:relay.MinFleetForSnapshots-1]), "a small fleet lists the store")
}

// TestStartingHostsAskDifferentSourcesFirst guards against one host that sends its copy to
// all hosts of a zone while two others are idle.
func TestStartingHostsAskDifferentSourcesFirst(t *testing.T) {
	var fleet []gates.Host
	for i := range 300 {
		fleet = append(fleet, gates.Host{Name: fmt.Sprint("host-", i), Zone: "z"})
	}
	asked := map[string]int{}
	for _, h := range fleet {
		asked[relay.SnapshotSources(h, fleet)[0].Name]++
	}
	for name, starts := range asked {
		require.Less(t, starts, 150, name)
	}
}
