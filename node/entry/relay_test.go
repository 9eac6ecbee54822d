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

// deployLarge starts a fleet, in one zone, that is large enough to use a relay.
func deployLarge(t *testing.T) *deployment {
	t.Helper()
	d := deploy(t, 1, options())
	d.addHostsBehindProxies(relay.MaxFleetWithoutRelays + 2)
	// A host that starts while the fleet is small watches the store directly, and
	// switches to the relay after that watch.
	require.Eventually(t, func() bool {
		before := d.platform.Store.WatchCallCount()
		time.Sleep(4 * time.Second)
		return d.platform.Store.WatchCallCount()-before <= 6
	}, 3*waitLimit, pollInterval, "only the relay may watch the store")
	return d
}

// requireConfigChange changes the configuration and waits until it is active on the
// given hosts.
func (d *deployment) requireConfigChange(hosts []*entry.Host) {
	d.t.Helper()
	version := d.platform.Configure(routes(timeout), timeout)
	for _, h := range hosts {
		require.Eventually(d.t, func() bool { return h.Catalog().Version == version }, waitLimit, pollInterval)
	}
}

// relayIndex returns the index of the host that the others follow.
func (d *deployment) relayIndex() int {
	for i, h := range d.hosts {
		if h.Followers() > 0 {
			return i
		}
	}
	d.t.Fatal("no host is followed")
	return 0
}

// hostsExcept returns all hosts but one.
func (d *deployment) hostsExcept(excluded int) []*entry.Host {
	return append(slices.Clone(d.hosts[:excluded]), d.hosts[excluded+1:]...)
}

// TestFleetReceivesConfigThroughRelay: configuration changes reach every host through
// the relay, and through a new relay after the first is lost.
func TestFleetReceivesConfigThroughRelay(t *testing.T) {
	d := deployLarge(t)
	d.requireConfigChange(d.hosts)
	lost := d.relayIndex()
	d.hosts[lost].Kill()
	d.requireConfigChange(d.hostsExcept(lost))
}

// TestFollowersLeaveRelayCutOffFromStore: the followers of a relay without connection
// to the store must get changes from elsewhere.
func TestFollowersLeaveRelayCutOffFromStore(t *testing.T) {
	d := deployLarge(t)
	relay := d.relayIndex()
	d.proxies[relay].SetFault(faultproxy.Fault{HoldToTarget: true, HoldToClient: true})
	d.requireConfigChange(d.hostsExcept(relay))
}
