package registry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/platform"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

const (
	// waitTimeout bounds the wait for an expected condition.
	waitTimeout  = 20 * time.Second
	pollInterval = 5 * time.Millisecond
	// callTimeout bounds one call to the stand-in store.
	callTimeout = time.Second
	// initialEpoch is the epoch of the stand-in store before a restore.
	initialEpoch = 1
)

// leaseTTL and renewInterval are those of a small fleet.
var (
	leaseTTL      = roster.LeaseTTL(0)
	renewInterval = roster.RenewalInterval(leaseTTL)
)

// runRegistry runs the registry of a host against the stand-in store until the test
// ends. A nil follow disables relays.
func runRegistry(t *testing.T, p *lineplatform.Platform, self gates.Host, follow FollowFunc) *Registry {
	t.Helper()
	return startRegistry(t, Config{
		Store:     platform.NewStoreClient(p.Address(), http.DefaultClient, callTimeout),
		Documents: platform.Documents{}, Self: self, FollowHost: follow,
	})
}

// runRegistryWithin is runRegistry for a host without relays and with a bound on the time
// until a configuration is active.
func runRegistryWithin(t *testing.T, p *lineplatform.Platform, self gates.Host, maxConfigApplyTime time.Duration) *Registry {
	t.Helper()
	return startRegistry(t, Config{
		Store:     platform.NewStoreClient(p.Address(), http.DefaultClient, callTimeout),
		Documents: platform.Documents{}, Self: self, MaxConfigApplyTime: maxConfigApplyTime,
	})
}

// startRegistry runs a registry until the test ends.
func startRegistry(t *testing.T, cfg Config) *Registry {
	t.Helper()
	cfg.Changed, cfg.Log = func() {}, zerolog.New(zerolog.NewTestWriter(t))
	r := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

// registerFleet registers enough hosts of one zone for relays to be used, and returns
// them.
func registerFleet(p *lineplatform.Platform) []gates.Host {
	var fleet []gates.Host
	for n := range relay.MaxFleetWithoutRelays + 2 {
		h := gates.Host{Name: fmt.Sprintf("host-%d", n), Zone: "a", Address: "unused"}
		p.Store.Put(hostKey(h.Name), encodeRegistration(roster.Registration{Host: h, Epoch: initialEpoch}))
		fleet = append(fleet, h)
	}
	return fleet
}

// relayAndFollower returns the host of a fleet that watches the store, and one that
// follows it.
func relayAndFollower(t *testing.T, fleet []gates.Host) (relayHost, follower gates.Host) {
	t.Helper()
	i := slices.IndexFunc(fleet, func(h gates.Host) bool {
		_, follows := relay.New(h).Pick(fleet, 0)
		return !follows
	})
	require.GreaterOrEqual(t, i, 0)
	return fleet[i], fleet[(i+1)%len(fleet)]
}

// writeUnrelatedKeys raises the revision of the store.
func writeUnrelatedKeys(p *lineplatform.Platform, changes int) {
	for n := range changes {
		p.Store.Put("op/unrelated", fmt.Append(nil, n))
	}
}

// requireConfigVersion waits until a version of the configuration is active on a host.
func requireConfigVersion(t *testing.T, name string, r *Registry, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool { c := r.Catalog(); return c != nil && c.Version == version }, waitTimeout, pollInterval, name)
}
