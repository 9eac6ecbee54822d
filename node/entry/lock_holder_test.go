package entry_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/entry"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

const groupLock = "dotterelswitch/locks/svc"

// lockHolder returns the index of the host that holds the group's lock, and the
// lock's revision.
func (d *deployment) lockHolder() (int, uint64) {
	d.t.Helper()
	name, revision := d.platform.Store.Get(groupLock)
	index := slices.IndexFunc(d.settings, func(s entry.Settings) bool { return s.Host == string(name) })
	require.GreaterOrEqual(d.t, index, 0, "no host holds the lock")
	return index, revision
}

// requireFailover waits until writes succeed through the given hosts and requires
// that another member is the primary.
func (d *deployment) requireFailover(old *lineplatform.Member, hosts ...int) {
	d.t.Helper()
	for _, host := range hosts {
		d.connect(host, "own").awaitWrite("item")
	}
	require.NotEqual(d.t, old.ID, d.group.Primary().ID)
}

// TestLockHolderPromotesWithExistingToken: the host that holds the lock replaces the
// primary without acquiring the lock again.
func TestLockHolderPromotesWithExistingToken(t *testing.T) {
	d := deploy(t, 3, options())
	d.awaitWrites()
	d.awaitLock()
	_, before := d.lockHolder()
	old := d.group.Primary()
	old.Crash()
	d.requireFailover(old, 0, 1, 2)
	_, after := d.lockHolder()
	require.Equal(t, before, after, "the lock was acquired again")
}

// TestLockHolderAndPrimaryLostTogether: another host acquires the lock and replaces
// the primary.
func TestLockHolderAndPrimaryLostTogether(t *testing.T) {
	d := deploy(t, 4, options())
	d.awaitWrites()
	d.awaitLock()
	lost, _ := d.lockHolder()
	old := d.group.Primary()
	d.hosts[lost].Kill()
	old.Crash()
	d.requireFailover(old, (lost+1)%4, (lost+2)%4, (lost+3)%4)
	next, _ := d.lockHolder()
	require.NotEqual(t, lost, next)
}

// TestFailoverWithSilentStoreIsPrompt: the store goes silent just before the primary
// crashes. The hosts must find the new primary although the store still seems
// reachable and the new primary reports a position of the previous term.
func TestFailoverWithSilentStoreIsPrompt(t *testing.T) {
	d := deploy(t, 3, options())
	d.awaitWrites()
	d.awaitLock()
	d.platform.Store.SetFailureMode(lineplatform.Unresponsive)
	old := d.group.Primary()
	old.Crash()
	startedAt := time.Now()
	d.requireFailover(old, 0, 1, 2)
	require.Less(t, time.Since(startedAt), 15*time.Second, "failover must not wait for the store")
}
