package replicaset

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/health"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// TestSuspicionExpiresOnHostThatDoesNotProbe guards against a permanent
// suspicion on a host that is not a gate of the member and so never contacts it
// again. A gate keeps its evidence because it continues to probe.
func TestSuspicionExpiresOnHostThatDoesNotProbe(t *testing.T) {
	s := setWithoutConnections(nil)
	m, _ := s.Member("replica")
	require.False(t, s.shouldProbe(m))
	now := clock.Now()
	m.exchangeFailed(now, failureTimeout)
	require.True(t, m.Suspect(now))
	s.Tick(now + health.EvidenceTTL/2)
	require.True(t, m.Suspect(now))
	s.Tick(now + health.EvidenceTTL)
	require.False(t, m.Suspect(now+time.Hour))

	m.update(m.snapshot(), gates.Share{Limits: connpool.Limits{MaxOpen: 1, FairShare: 1}})
	require.True(t, s.shouldProbe(m))
	m.exchangeFailed(now, failureTimeout)
	s.Tick(now + health.EvidenceTTL)
	require.True(t, m.Suspect(now+health.EvidenceTTL))
}
