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

// TestMissingEntryStaysDuringGracePeriod covers an outage of the platform: entries
// expire and are written again while their members keep serving.
func TestMissingEntryStaysDuringGracePeriod(t *testing.T) {
	d := directory.New()
	d.Put(entry("a", 1), 0)
	d.MarkMissing("a", 5, time.Second)
	require.True(t, d.Members()[0].Missing)
	require.Empty(t, d.Expire(time.Second+directory.GracePeriod-1))
	d.Put(entry("a", 6), 2*time.Second)
	require.False(t, d.Members()[0].Missing)
	require.Empty(t, d.Expire(time.Hour))
	require.Len(t, d.Members(), 1)
}

func TestMissingEntryExpiresAfterGracePeriod(t *testing.T) {
	d := directory.New()
	d.Put(entry("a", 1), 0)
	d.Replace(nil, 5, time.Second)
	d.Replace(nil, 6, 2*time.Second)
	expired := d.Expire(time.Second + directory.GracePeriod)
	require.Len(t, expired, 1, "a second listing does not extend the grace period")
	require.Empty(t, d.Members())
}

func TestLeavingMemberIsRemovedImmediately(t *testing.T) {
	d := directory.New()
	e := entry("a", 1)
	e.Leaving = true
	d.Put(e, time.Second)
	require.Equal(t, time.Second, d.Members()[0].LeavingSince)
	d.MarkMissing("a", 5, 2*time.Second)
	require.Empty(t, d.Members())
}

// TestOutdatedEventsAreIgnored covers a watch that overlaps with a listing.
func TestOutdatedEventsAreIgnored(t *testing.T) {
	d := directory.New()
	d.Put(entry("a", 9), 0)
	d.MarkMissing("a", 5, 0)
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

// started returns an entry of the incarnation with the given start time.
func started(revision store.Revision, at directory.StartTime) directory.Entry {
	e := entry("a", revision)
	e.StartedAt = at
	return e
}

func TestNewIncarnationResetsMemberState(t *testing.T) {
	d := directory.New()
	e := started(1, 100)
	e.Leaving = true
	d.Put(e, time.Second)
	require.True(t, d.Put(started(5, 200), 2*time.Second))
	m := d.Members()[0]
	require.Equal(t, directory.StartTime(200), m.StartedAt)
	require.EqualValues(t, 5, m.RoleRevision, "the role of a new incarnation counts as changed")
	require.Zero(t, m.LeavingSince)
}

// TestEarlierIncarnationIsIgnored covers a delayed write of an earlier incarnation, and a
// restarted member whose clock was set back.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	d := directory.New()
	d.Put(started(5, 200), 0)
	require.False(t, d.Put(started(6, 100), 0))
	require.False(t, d.Put(started(6, 100), 0), "the same event again")
	require.Equal(t, directory.StartTime(200), d.Members()[0].StartedAt)
	d.Put(started(7, 200), 0)
	require.False(t, d.Put(started(8, 100), 0), "an entry of the current incarnation clears the earlier start time")
	require.True(t, d.Put(started(9, 100), 0), "two entries in a row are accepted")
	require.Equal(t, directory.StartTime(100), d.Members()[0].StartedAt)
}

func TestEntryWithoutStartTimeBelongsToCurrentIncarnation(t *testing.T) {
	d := directory.New()
	d.Put(started(5, 200), 0)
	require.False(t, d.Put(started(6, 0), 0))
	require.Equal(t, directory.StartTime(200), d.Members()[0].StartedAt)
}

// TestStaleListingDoesNotRestoreRemovedMember covers a listing that was read before the
// watch reported the removal of a member's entry.
func TestStaleListingDoesNotRestoreRemovedMember(t *testing.T) {
	d := directory.New()
	e := entry("a", 1)
	e.Leaving = true
	d.Put(e, 0)
	d.MarkMissing("a", 5, time.Second)
	d.Replace([]directory.Entry{e}, 4, time.Second)
	require.Empty(t, d.Members())
	d.Put(entry("a", 6), 2*time.Second)
	require.Len(t, d.Members(), 1, "the member was registered again")
}

// TestStaleEventDoesNotRestoreMissingEntry covers a delayed event that carries the entry
// from before it went missing.
func TestStaleEventDoesNotRestoreMissingEntry(t *testing.T) {
	d := directory.New()
	d.Put(entry("a", 1), 0)
	d.MarkMissing("a", 5, time.Second)
	require.False(t, d.Put(entry("a", 4), 2*time.Second))
	require.True(t, d.Members()[0].Missing)
}
