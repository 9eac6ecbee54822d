package connpool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

func TestTheLongestRestEndsFirst(t *testing.T) {
	now := 10 * time.Second
	resting := []connpool.Resting{{ID: 1, Since: 9500 * ms}, {ID: 2, Since: 4 * time.Second}, {ID: 3, Since: 6 * time.Second}}
	r, found := connpool.Reclaim(resting, now)
	require.True(t, found)
	require.Equal(t, uint64(2), r.ID)
}

func TestCallersAtWorkKeepTheirTransactions(t *testing.T) {
	now := 10 * time.Second
	_, found := connpool.Reclaim([]connpool.Resting{{ID: 1, Since: now - connpool.RestLimit}}, now)
	require.False(t, found)
	_, found = connpool.Reclaim(nil, now)
	require.False(t, found)
}
