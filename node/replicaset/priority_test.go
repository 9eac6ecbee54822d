package replicaset

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
)

// TestNegativePriorityIsTheHighestOfCallers guards against a job of another host that is
// taken for a statement of the proxy itself, which precedes all and is not charged.
func TestNegativePriorityIsTheHighestOfCallers(t *testing.T) {
	require.Zero(t, Request{Route: catalog.Route{Priority: -3}}.waiter().Priority)
}
