package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/directory"
)

func entry(id string, revision uint64) directory.Entry {
	return directory.Entry{ID: id, Service: "s", Address: "a:1", Revision: revision}
}

// TestLapsedEntryIsNotGone: entries lapse while the platform is away and come
// back with its return; the member served all the while.
func TestLapsedEntryIsNotGone(t *testing.T) {
	d := directory.New()
	d.Put(entry("a", 1), 0)
	d.Lose("a", 5, time.Second)
	require.True(t, d.Members()[0].Missing)
	require.Empty(t, d.Expire(time.Second+directory.Grace-1))
	d.Put(entry("a", 6), 2*time.Second)
	require.False(t, d.Members()[0].Missing)
	require.Empty(t, d.Expire(time.Hour))
	require.Len(t, d.Members(), 1)
}

func TestEntryThatStaysAwayIsGone(t *testing.T) {
	d := directory.New()
	d.Put(entry("a", 1), 0)
	d.Replace(nil, 5, time.Second)
	d.Replace(nil, 6, 2*time.Second)
	gone := d.Expire(time.Second + directory.Grace)
	require.Len(t, gone, 1, "a second listing does not extend the grace period")
	require.Empty(t, d.Members())
}

func TestLeavingMemberIsGoneAtOnce(t *testing.T) {
	d := directory.New()
	e := entry("a", 1)
	e.Leaving = true
	d.Put(e, time.Second)
	require.Equal(t, time.Second, d.Members()[0].LeavingSince)
	d.Lose("a", 5, 2*time.Second)
	require.Empty(t, d.Members())
}

// TestOldEventsChangeNothing: a watch and a listing may overlap.
func TestOldEventsChangeNothing(t *testing.T) {
	d := directory.New()
	d.Put(entry("a", 9), 0)
	d.Lose("a", 5, 0)
	require.False(t, d.Members()[0].Missing)
	old := entry("a", 4)
	old.Primary = true
	require.False(t, d.Put(old, 0))
	require.False(t, d.Members()[0].Primary)
}

func TestRoleRevisionIsThatOfTheChange(t *testing.T) {
	d := directory.New()
	d.Put(entry("a", 1), 0)
	e := entry("a", 3)
	e.Primary = true
	d.Put(e, 0)
	e.Revision = 8
	d.Put(e, 0)
	require.Equal(t, uint64(3), d.Members()[0].RoleRevision)
}
