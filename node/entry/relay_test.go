package entry_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/node/entry"
	"github.com/dotterelswitch/dotterelswitch/standin/faultproxy"
)

// deployLarge starts a fleet that is large enough for a relay. All of its hosts
// are in one zone.
func deployLarge(t *testing.T) *deployment {
	t.Helper()
	d := deploy(t, 1, options())
	d.addHostsBehindProxies(relay.MaxFleetWithoutRelays + 2)
	// A host that starts when the fleet is still small watches the store itself;
	// it turns to the relay after its next watch.
	require.Eventually(t, func() bool {
		before := d.platform.Store.Watches()
		time.Sleep(4 * time.Second)
		return d.platform.Store.Watches()-before <= 6
	}, 3*waitLimit, pollInterval, "one host watches, every 1.5 s; each on its own they would watch 50 times")
	return d
}

// requireConfigChange reports whether hosts come to run on a new configuration.
func (d *deployment) requireConfigChange(hosts []*entry.Host) {
	d.t.Helper()
	version := d.platform.Configure(routes(timeout), timeout)
	for _, h := range hosts {
		require.Eventually(d.t, func() bool { return h.Catalog().Version == version }, waitLimit, pollInterval)
	}
}

// relayIndex returns the number of the host that the others follow.
func (d *deployment) relayIndex() int {
	for n, h := range d.hosts {
		if h.Followers() > 0 {
			return n
		}
	}
	d.t.Fatal("no host is followed")
	return 0
}

// others returns all hosts but one.
func (d *deployment) hostsExcept(but int) []*entry.Host {
	return append(slices.Clone(d.hosts[:but]), d.hosts[but+1:]...)
}

// TestFleetReceivesConfigThroughRelay: changes reach every host through the one that
// watches, and still do when that one is lost.
func TestFleetReceivesConfigThroughRelay(t *testing.T) {
	d := deployLarge(t)
	d.requireConfigChange(d.hosts)
	lost := d.relayIndex()
	d.hosts[lost].Kill()
	d.requireConfigChange(d.hostsExcept(lost))
}

// TestFollowersLeaveRelayCutOffFromStore: its followers reach the store, and
// must not wait for what it does not hear.
func TestFollowersLeaveRelayCutOffFromStore(t *testing.T) {
	d := deployLarge(t)
	relay := d.relayIndex()
	d.proxies[relay].Set(faultproxy.Fault{HoldToTarget: true, HoldToClient: true})
	d.requireConfigChange(d.hostsExcept(relay))
}
