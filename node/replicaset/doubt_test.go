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

// TestHostThatDoesNotProbeStopsToDoubt: a host that is no gate of a member has
// tried a connection of its own once, and nothing has it try another. A gate goes
// on probing, and keeps its evidence.
func TestHostThatDoesNotProbeStopsToDoubt(t *testing.T) {
	s := hostOfLargeFleet(nil)
	m, _ := s.Member("replica")
	require.False(t, s.probes(m))
	now := clock.Now()
	m.failed(now, failureSilent)
	require.True(t, m.Doubtful(now))
	s.Tick(now + health.EvidenceTTL/2)
	require.True(t, m.Doubtful(now))
	s.Tick(now + health.EvidenceTTL)
	require.False(t, m.Doubtful(now+time.Hour))

	m.update(m.snapshot(), gates.Share{Limits: connpool.Limits{MaxOpen: 1, FairShare: 1}})
	require.True(t, s.probes(m))
	m.failed(now, failureSilent)
	s.Tick(now + health.EvidenceTTL)
	require.True(t, m.Doubtful(now+health.EvidenceTTL))
}
