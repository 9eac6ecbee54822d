package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/edge"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// TestReadCountsAreAggregatedOverServices: what a host logs of its reads is a line for
// each kind of route, however many services its callers use.
func TestReadCountsAreAggregatedOverServices(t *testing.T) {
	var counts readCounts
	served := replicaset.Outcome{Source: replicaset.ByReplica, Answer: statement.Answer{Code: statement.OK}}
	for i := range 20 {
		for _, kind := range []catalog.Consistency{catalog.BoundedStaleness, catalog.ReadYourWrites} {
			counts.observe(edge.Record{Route: catalog.Route{Service: fmt.Sprint("svc-", i), Consistency: kind}, Outcome: served})
		}
	}
	taken := counts.take()
	require.Len(t, taken, 2)
	require.Equal(t, 20, taken[catalog.BoundedStaleness][replicaset.ByReplica])
	require.Empty(t, counts.take())
}
