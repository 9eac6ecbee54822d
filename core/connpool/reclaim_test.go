package connpool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

func TestReclaimsLongestIdleTransaction(t *testing.T) {
	now := 10 * time.Second
	idle := []connpool.IdleTransaction{{ID: 1, IdleSince: 9500 * ms}, {ID: 2, IdleSince: 4 * time.Second}, {ID: 3, IdleSince: 6 * time.Second}}
	r, found := connpool.ReclaimCandidate(idle, now)
	require.True(t, found)
	require.Equal(t, uint64(2), r.ID)
}

func TestKeepsTransactionsWithinIdleLimit(t *testing.T) {
	now := 10 * time.Second
	_, found := connpool.ReclaimCandidate([]connpool.IdleTransaction{{ID: 1, IdleSince: now - connpool.MaxIdleInTransaction}}, now)
	require.False(t, found)
	_, found = connpool.ReclaimCandidate(nil, now)
	require.False(t, found)
}
