package promoter

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// lockRegistry is a store whose promotion lock the test changes.
type lockRegistry struct {
	reportingRegistry
	lock succession.Lock
}

func (r *lockRegistry) LockOf(string) succession.Lock { return r.lock }

// TestNewLockHolderHasItsTurn guards against hosts that have waited while promotions failed
// and take the lock from each other within milliseconds, each with a promotion.
func TestNewLockHolderHasItsTurn(t *testing.T) {
	hosts := []string{"h0", "h1", "h2"}
	set := replicaset.New(replicaset.Config{Service: "svc", Host: "h0", Log: zerolog.Nop()})
	set.Update(nil, catalog.Service{}, gates.NewFleet([]gates.Host{{Name: "h0"}, {Name: "h1"}, {Name: "h2"}}, nil))
	registry := &lockRegistry{reportingRegistry: reportingRegistry{hosts: hosts}, lock: succession.Lock{Holder: "h1", Revision: 5}}
	p := New(Config{Service: "svc", Host: "h0", Set: set, Registry: registry, Log: zerolog.Nop()})
	const due, now = time.Minute, 2 * time.Minute
	p.readySince = due
	p.observeLock(now)
	require.Less(t, p.earliestTakeover(registry.lock), now, "a holder that shows no activity")
	registry.lock = succession.Lock{Holder: "h2", Revision: 9}
	p.observeLock(now)
	p.observeLock(now + time.Millisecond)
	require.GreaterOrEqual(t, p.earliestTakeover(registry.lock), now+succession.TakeoverDelay, "the new holder")
	require.Less(t, p.earliestTakeover(registry.lock), now+time.Second+succession.TakeoverDelay, "it shows no activity either")
}
