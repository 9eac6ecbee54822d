package relay_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/bootstrap"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
)

func TestSourcesHaveTheFastestLinksOfTheZone(t *testing.T) {
	var fleet []gates.Host
	for i := range relay.MinFleetForSources {
		h := gates.Host{Name: fmt.Sprint("host-", i), Zone: fmt.Sprint("zone-", i%2), LinkMbps: 20}
		if i < 8 {
			h.LinkMbps = 1000
		}
		fleet = append(fleet, h)
	}
	sources := relay.Sources(fleet[0], fleet)
	require.Len(t, sources, bootstrap.MaxSources)
	for _, h := range sources {
		require.Equal(t, "zone-0", h.Zone)
		require.Equal(t, 1000, h.LinkMbps)
	}
	require.Equal(t, sources, relay.Sources(fleet[98], fleet), "all hosts of a zone agree")
	require.Empty(t, relay.Sources(fleet[0], fleet[1:]), "a small fleet lists the store")
}
