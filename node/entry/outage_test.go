package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// awaitWrites waits until a write succeeds through each host.
func (d *deployment) awaitWrites() {
	d.t.Helper()
	for host := range d.hosts {
		c := d.connect(host, "own")
		require.Eventually(d.t, func() bool {
			res, err := c.try("STORE item x")
			require.NoError(d.t, err)
			return res.code == ""
		}, waitLimit, pollInterval)
	}
}

// awaitLock waits until some host holds the group's lock between promotions.
func (d *deployment) awaitLock() {
	d.t.Helper()
	require.Eventually(d.t, func() bool {
		return len(d.platform.Store.Keys("dotterelswitch/locks/")) == 1
	}, waitLimit, pollInterval)
	// Wait until the holder knows that it holds the lock.
	time.Sleep(200 * time.Millisecond)
}

// TestFailoverDuringStoreOutage guards against a failover that waits for the end of a
// store outage.
func TestFailoverDuringStoreOutage(t *testing.T) {
	for _, outage := range []lineplatform.FailureMode{lineplatform.Unavailable, lineplatform.Unresponsive} {
		d := deploy(t, 3, options())
		d.awaitWrites()
		d.awaitLock()
		d.platform.Store.SetFailureMode(outage)
		old := d.group.Primary()
		old.Crash()
		d.awaitWrites()
		require.NotEqual(t, old.ID, d.group.Primary().ID)
	}
}

// TestLostLockAnswerDoesNotBlockFailover: a host acquires the lock but does not
// receive the store's answer.
func TestLostLockAnswerDoesNotBlockFailover(t *testing.T) {
	d := deploy(t, 3, options())
	d.awaitWrites()
	d.platform.Store.SetFailureMode(lineplatform.DroppingAnswers)
	d.group.Primary().Crash()
	require.Eventually(t, func() bool {
		return len(d.platform.Store.Keys("dotterelswitch/locks/")) == 1
	}, waitLimit, pollInterval)
	time.Sleep(time.Second)
	d.platform.Store.SetFailureMode(lineplatform.Healthy)
	d.awaitWrites()
}

// TestLoginWaitsForConfigurationAtStartup: a caller that logs in before a starting
// host has its configuration is served once the store is back.
func TestLoginWaitsForConfigurationAtStartup(t *testing.T) {
	d := deploy(t, 1, options())
	d.platform.Store.SetFailureMode(lineplatform.Unavailable)
	h := d.startHost(d.platform.Address())
	recovery := time.AfterFunc(300*time.Millisecond, func() { d.platform.Store.SetFailureMode(lineplatform.Healthy) })
	defer recovery.Stop()
	require.Nil(t, h.Catalog())
	c := d.connect(1, "own")
	c.must("STORE item x")
	require.Equal(t, []string{"x"}, c.must("FETCH item").rows)
}
