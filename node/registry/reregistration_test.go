package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReregistrationDelayGrowsWithFleetSize: the spread of the renewals suffices for a
// small fleet but not for a large one.
func TestReregistrationDelayGrowsWithFleetSize(t *testing.T) {
	for range 100 {
		require.Zero(t, reregistrationDelay(300, renewInterval))
		require.LessOrEqual(t, reregistrationDelay(300, 0), 1500*time.Millisecond)
	}
	longest := time.Duration(0)
	for range 1000 {
		longest = max(longest, reregistrationDelay(5000, renewInterval))
	}
	require.Greater(t, longest, 10*time.Second)
}
