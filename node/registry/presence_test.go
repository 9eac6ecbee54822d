package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// TestLostRenewalIsRepeatedWithinTheLease: a renewal whose answer was lost, with
// the longest call of the deployments, leaves time for two more.
func TestLostRenewalIsRepeatedWithinTheLease(t *testing.T) {
	const call = 1500 * time.Millisecond
	lost := &store.Error{Failure: store.Unanswered}
	require.Less(t, renewPause(nil)+call+renewPause(lost)+call/2, leaseTTL)
}

// TestBusyStoreIsNotAskedMoreOften: renewals that come above the store's rate
// would keep it there.
func TestBusyStoreIsNotAskedMoreOften(t *testing.T) {
	require.Equal(t, renewPause(nil), renewPause(&store.Error{Failure: store.Throttled}))
}
