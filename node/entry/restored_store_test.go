package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
)

const (
	// storeAway is how long the store is away before it returns from a copy, and
	// rewriteAfter when the operators and the members write again.
	storeAway    = 200 * time.Millisecond
	rewriteAfter = 1500 * time.Millisecond
)

// TestRevokedKeyStaysRevokedAfterStoreRestore: on hosts that know better, and on
// one that starts while the store has the older configuration.
func TestRevokedKeyStaysRevokedAfterStoreRestore(t *testing.T) {
	d := deploy(t, 2, options())
	d.setTeams(schools, clubs)
	older := d.platform.Store.Copy()
	d.setTeams(clubs)
	d.platform.Store.Restore(older)
	d.startHost(d.platform.Address())
	require.Eventually(t, func() bool { return d.hosts[2].Catalog() != nil }, waitLimit, pollInterval)
	until := time.Now().Add(rewriteAfter)
	for time.Now().Before(until) {
		for host := range d.hosts {
			_, err := linecaller.OpenWithKey(d.settings[host].CallerAddress, "own", "key-schools-1", "revoked", waitLimit)
			var refused *linecaller.RefusedError
			require.ErrorAs(t, err, &refused)
			require.Equal(t, "UNAUTH", refused.Code())
		}
	}
	d.connectAs(2, "own", "key-clubs").must("FETCH a")
}

// TestFailoverDuringStoreRestore: the copy has no lock, or one that another host
// held; no two hosts may order a promotion with one token.
func TestFailoverDuringStoreRestore(t *testing.T) {
	d := deploy(t, 3, options())
	older := d.platform.Store.Copy()
	d.awaitWrites()
	d.awaitLock()
	for range 2 {
		restored := make(chan struct{})
		go func() {
			defer close(restored)
			d.platform.RestoreStore(older, storeAway, rewriteAfter)
		}()
		time.Sleep(2 * storeAway)
		old := d.group.Primary()
		old.Crash()
		d.requireFailover(old, 0, 1, 2)
		<-restored
		require.NoError(t, old.Restart())
		older = d.platform.Store.Copy()
	}
	require.Zero(t, d.platform.SharedTokens())
}

// TestServesDuringStoreRestore: no caller is refused for it.
func TestServesDuringStoreRestore(t *testing.T) {
	d := deploy(t, 3, options())
	d.awaitWrites()
	older := d.platform.Store.Copy()
	time.Sleep(time.Second)
	restored := make(chan struct{})
	go func() {
		defer close(restored)
		d.platform.RestoreStore(older, storeAway, rewriteAfter)
	}()
	callers := []*client{d.connect(0, "own"), d.connect(1, "strict"), d.connect(2, "bounded")}
	for running := true; running; {
		select {
		case <-restored:
			running = false
		default:
		}
		for _, c := range callers {
			c.must("FETCH item")
		}
		callers[0].must("STORE item x")
	}
}
