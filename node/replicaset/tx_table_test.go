package replicaset

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTransactionIsRefusedToOtherHosts guards against a host that continues a transaction
// which another host has opened.
func TestTransactionIsRefusedToOtherHosts(t *testing.T) {
	var table txTable
	id := table.add(nil, Job{Owner: "host-1@a"})
	_, found := table.get(id, "host-1@a")
	require.True(t, found)
	for _, owner := range []string{"host-2@b", "host-1@c", ""} {
		_, found = table.get(id, owner)
		require.False(t, found, "owner %q", owner)
	}
}
