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
func (d *deployment) holder() (int, uint64) {
	d.t.Helper()
	name, revision := d.platform.Store.Get(groupLock)
	at := slices.IndexFunc(d.settings, func(s entry.Settings) bool { return s.Host == string(name) })
	require.GreaterOrEqual(d.t, at, 0, "nobody holds the lock")
	return at, revision
}

// callersFindANewPrimary has callers of some hosts write until that succeeds, and checks that
// another member leads then.
func (d *deployment) callersFindANewPrimary(old *lineplatform.Member, hosts ...int) {
	d.t.Helper()
	for _, host := range hosts {
		d.connect(host, "own").eventuallyWrites("item")
	}
	require.NotEqual(d.t, old.ID, d.group.Primary().ID)
}

// TestHolderOfTheLockLeadsWithTheTokenThatItHas: no call to the store is needed
// between the loss of a primary and its replacement.
func TestHolderOfTheLockLeadsWithTheTokenThatItHas(t *testing.T) {
	d := deploy(t, 3, options())
	d.writesComeBack()
	d.awaitLock()
	_, before := d.holder()
	old := d.group.Primary()
	old.Crash()
	d.callersFindANewPrimary(old, 0, 1, 2)
	_, after := d.holder()
	require.Equal(t, before, after, "the lock was taken anew")
}

// TestHolderIsLostWithThePrimary: another host takes the lock.
func TestHolderIsLostWithThePrimary(t *testing.T) {
	d := deploy(t, 4, options())
	d.writesComeBack()
	d.awaitLock()
	lost, _ := d.holder()
	old := d.group.Primary()
	d.hosts[lost].Kill()
	old.Crash()
	d.callersFindANewPrimary(old, (lost+1)%4, (lost+2)%4, (lost+3)%4)
	next, _ := d.holder()
	require.NotEqual(t, lost, next)
}

// TestSilentStoreHidesNoNewPrimary replays a store that goes silent just before a
// primary is lost: the hosts believe that they reach it, and what a new primary
// says of its log is a position of the term before until it has written.
func TestSilentStoreHidesNoNewPrimary(t *testing.T) {
	d := deploy(t, 3, options())
	d.writesComeBack()
	d.awaitLock()
	d.platform.Store.Fail(lineplatform.Silent)
	old := d.group.Primary()
	old.Crash()
	began := time.Now()
	d.callersFindANewPrimary(old, 0, 1, 2)
	require.Less(t, time.Since(began), 15*time.Second, "the store was silent all the while")
}
