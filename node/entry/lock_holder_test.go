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

// holder returns the host that holds the group's lock, and the lock's revision.
func (d *deployment) lockHolder() (int, uint64) {
	d.t.Helper()
	name, revision := d.platform.Store.Get(groupLock)
	at := slices.IndexFunc(d.settings, func(s entry.Settings) bool { return s.Host == string(name) })
	require.GreaterOrEqual(d.t, at, 0, "nobody holds the lock")
	return at, revision
}

// requireFailover has callers of some hosts write until that succeeds, and checks that
// another member leads then.
func (d *deployment) requireFailover(old *lineplatform.Member, hosts ...int) {
	d.t.Helper()
	for _, host := range hosts {
		d.connect(host, "own").awaitWrite("item")
	}
	require.NotEqual(d.t, old.ID, d.group.Primary().ID)
}

// TestLockHolderPromotesWithExistingToken: no call to the store is needed
// between the loss of a primary and its replacement.
func TestLockHolderPromotesWithExistingToken(t *testing.T) {
	d := deploy(t, 3, options())
	d.awaitWrites()
	d.awaitLock()
	_, before := d.lockHolder()
	old := d.group.Primary()
	old.Crash()
	d.requireFailover(old, 0, 1, 2)
	_, after := d.lockHolder()
	require.Equal(t, before, after, "the lock was taken anew")
}

// TestLockHolderAndPrimaryLostTogether: another host takes the lock.
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

// TestFailoverWithSilentStoreIsPrompt replays a store that goes silent just before a
// primary is lost: the hosts believe that they reach it, and what a new primary
// says of its log is a position of the term before until it has written.
func TestFailoverWithSilentStoreIsPrompt(t *testing.T) {
	d := deploy(t, 3, options())
	d.awaitWrites()
	d.awaitLock()
	d.platform.Store.Fail(lineplatform.Silent)
	old := d.group.Primary()
	old.Crash()
	began := time.Now()
	d.requireFailover(old, 0, 1, 2)
	require.Less(t, time.Since(began), 15*time.Second, "the store was silent all the while")
}
