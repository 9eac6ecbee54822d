package promoter

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// Guards against relying on a report from before a restore of the store: it is void
// in the new epoch and must be repeated.
func TestReportIsRepeatedAfterRestore(t *testing.T) {
	set := replicaset.New(replicaset.Config{Service: "svc", Host: "h0", Log: zerolog.Nop()})
	set.Update(nil, catalog.Service{}, gates.NewFleet([]gates.Host{{Name: "h0", Zone: "z"}}, nil))
	registry := reportingRegistry{hosts: []string{"h0"}, holder: "other", epoch: 1}
	p := New(Config{Service: "svc", Host: "h0", Set: set, Registry: registry, Log: zerolog.Nop()})
	now := clock.Now()
	p.deadIncarnation, p.deadSince = "m", now-time.Minute
	require.True(t, p.storeSyncDue(now))
	p.syncStore(t.Context())
	require.Equal(t, "m", p.reportedPrimary())
	require.False(t, p.storeSyncDue(now))
	registry.epoch = 2
	p.registry = registry
	require.True(t, p.storeSyncDue(now))
	p.syncStore(t.Context())
	require.False(t, p.storeSyncDue(now))
}
