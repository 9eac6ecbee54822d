package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

func entry(id string, revision store.Revision) directory.Entry {
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
	require.EqualValues(t, 3, d.Members()[0].RoleRevision)
}

// started returns an entry of the life that began at a time.
func started(revision store.Revision, at directory.StartTime) directory.Entry {
	e := entry("a", revision)
	e.StartedAt = at
	return e
}

func TestNewLifeStartsAfresh(t *testing.T) {
	d := directory.New()
	e := started(1, 100)
	e.Leaving = true
	d.Put(e, time.Second)
	require.True(t, d.Put(started(5, 200), 2*time.Second))
	m := d.Members()[0]
	require.Equal(t, directory.StartTime(200), m.StartedAt)
	require.EqualValues(t, 5, m.RoleRevision, "its role is a new claim")
	require.Zero(t, m.LeavingSince)
}

// TestEndedLifeDoesNotComeBack replays a heartbeat of the earlier life that the
// store carries out after the new life's first, and one of a member whose clock
// was set back before it started.
func TestEndedLifeDoesNotComeBack(t *testing.T) {
	d := directory.New()
	d.Put(started(5, 200), 0)
	require.False(t, d.Put(started(6, 100), 0))
	require.False(t, d.Put(started(6, 100), 0), "the same news again")
	require.Equal(t, directory.StartTime(200), d.Members()[0].StartedAt)
	d.Put(started(7, 200), 0)
	require.False(t, d.Put(started(8, 100), 0), "it is counted anew after news of the present life")
	require.True(t, d.Put(started(9, 100), 0), "what is written twice in a row lives")
	require.Equal(t, directory.StartTime(100), d.Members()[0].StartedAt)
}

func TestEntryWithoutAStartTimeIsOfThePresentLife(t *testing.T) {
	d := directory.New()
	d.Put(started(5, 200), 0)
	require.False(t, d.Put(started(6, 0), 0))
	require.Equal(t, directory.StartTime(200), d.Members()[0].StartedAt)
}

// TestListingReadBeforeALeaveDoesNotUndoIt: a listing that is on its way while
// the watch tells that a member has left still holds the member's entry.
func TestListingReadBeforeALeaveDoesNotUndoIt(t *testing.T) {
	d := directory.New()
	e := entry("a", 1)
	e.Leaving = true
	d.Put(e, 0)
	d.Lose("a", 5, time.Second)
	d.Replace([]directory.Entry{e}, 4, time.Second)
	require.Empty(t, d.Members())
	d.Put(entry("a", 6), 2*time.Second)
	require.Len(t, d.Members(), 1, "it has come back since")
}

// TestNewsBeforeALossDoesNotUndoIt: an event that was repeated names the entry
// as it was before it was lost.
func TestNewsBeforeALossDoesNotUndoIt(t *testing.T) {
	d := directory.New()
	d.Put(entry("a", 1), 0)
	d.Lose("a", 5, time.Second)
	require.False(t, d.Put(entry("a", 4), 2*time.Second))
	require.True(t, d.Members()[0].Missing)
}
