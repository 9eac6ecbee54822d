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

// TestReadCountsAreAggregatedOverServices guards against log volume that grows with
// the number of services.
func TestReadCountsAreAggregatedOverServices(t *testing.T) {
	var counts readCounts
	served := replicaset.Outcome{Source: replicaset.ByReplica, Answer: statement.Answer{Code: statement.OK}}
	for i := range 20 {
		for _, kind := range []catalog.Consistency{catalog.BoundedStaleness, catalog.ReadYourWrites} {
			counts.observe(edge.Record{Route: catalog.Route{Service: fmt.Sprint("svc-", i), Consistency: kind}, Outcome: served})
		}
	}
	got := counts.take()
	require.Len(t, got, 2)
	require.Equal(t, 20, got[catalog.BoundedStaleness][replicaset.ByReplica])
	require.Empty(t, counts.take())
}
