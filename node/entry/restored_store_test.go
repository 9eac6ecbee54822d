package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
)

const (
	// outageTime is how long the store is unavailable before the backup is
	// restored.
	outageTime = 200 * time.Millisecond
	// rewriteAfter is the delay after which operators and members write their
	// entries again.
	rewriteAfter = 1500 * time.Millisecond
)

// TestRevokedKeyStaysRevokedAfterStoreRestore: the store is restored from a backup
// older than a revocation. Running hosts and one that starts then must both refuse
// the key.
func TestRevokedKeyStaysRevokedAfterStoreRestore(t *testing.T) {
	d := deploy(t, 2, options())
	d.setTeams(schools, clubs)
	backup := d.platform.Store.Backup()
	d.setTeams(clubs)
	d.platform.Store.Restore(backup)
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

// TestFailoverDuringStoreRestore: the backup has no lock or one held by another host.
// Two hosts must not order promotions with the same token.
func TestFailoverDuringStoreRestore(t *testing.T) {
	d := deploy(t, 3, options())
	backup := d.platform.Store.Backup()
	d.awaitWrites()
	d.awaitLock()
	for range 2 {
		restored := make(chan struct{})
		go func() {
			defer close(restored)
			d.platform.RestoreStore(backup, outageTime, rewriteAfter)
		}()
		time.Sleep(2 * outageTime)
		old := d.group.Primary()
		old.Crash()
		d.requireFailover(old, 0, 1, 2)
		<-restored
		require.NoError(t, old.Restart())
		backup = d.platform.Store.Backup()
	}
	require.Zero(t, d.platform.TokenConflicts())
}

// TestServesDuringStoreRestore: no statement fails while the store is restored from a
// backup.
func TestServesDuringStoreRestore(t *testing.T) {
	d := deploy(t, 3, options())
	d.awaitWrites()
	backup := d.platform.Store.Backup()
	time.Sleep(time.Second)
	restored := make(chan struct{})
	go func() {
		defer close(restored)
		d.platform.RestoreStore(backup, outageTime, rewriteAfter)
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
