package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// entryAt returns an entry of member "a" with a sequence, written at a revision of the
// store.
func entryAt(t *testing.T, epoch store.Epoch, number, sequence uint64) directory.Entry {
	t.Helper()
	r, err := store.NewRevision(epoch, number)
	require.NoError(t, err)
	e := entry("a", r)
	e.Sequence = sequence
	return e
}

// startTimes covers members that report a start time and older versions that do not.
var startTimes = map[string]directory.StartTime{"reported": 500, "not reported": 0}

// TestRestoreDoesNotUndoLeaving covers a member that announced its shutdown after the
// backup was made.
func TestRestoreDoesNotUndoLeaving(t *testing.T) {
	for name, startedAt := range startTimes {
		d := directory.New()
		leaving := entryAt(t, 1, 300, 9)
		leaving.Leaving, leaving.StartedAt = true, startedAt
		d.Put(leaving, time.Second)
		older := entryAt(t, 2, 50, 4)
		older.StartedAt = startedAt
		d.Replace([]directory.Entry{older}, older.Revision, 2*time.Second)
		require.True(t, d.Members()[0].Leaving, name)
		require.Equal(t, time.Second, d.Members()[0].LeavingSince, name)
	}
}

// TestRestoreDoesNotReinstateRemovedMember guards against connecting to an address at
// which nothing, or another member, listens.
func TestRestoreDoesNotReinstateRemovedMember(t *testing.T) {
	d := directory.New()
	leaving := entryAt(t, 1, 300, 9)
	leaving.Leaving = true
	d.Put(leaving, 0)
	d.MarkMissing("a", leaving.Revision+1, time.Second)
	require.Empty(t, d.Members())
	restored := entryAt(t, 2, 50, 9)
	d.Replace([]directory.Entry{restored}, restored.Revision, 2*time.Second)
	require.Empty(t, d.Members())
	require.Empty(t, d.Expire(20*time.Second))
	d.Replace([]directory.Entry{restored}, restored.Revision+9, 21*time.Second)
	require.Empty(t, d.Members(), "the restored entry may stay for some time")
	d.Put(entryAt(t, 2, 60, 10), 22*time.Second)
	require.Len(t, d.Members(), 1, "a member that writes again is reinstated")
}

// TestMemberMissingAfterRestoreGetsGracePeriod covers a member that joined after the
// backup was made.
func TestMemberMissingAfterRestoreGetsGracePeriod(t *testing.T) {
	d := directory.New()
	d.Put(entryAt(t, 1, 300, 9), 0)
	d.Replace(nil, entryAt(t, 2, 50, 0).Revision, time.Second)
	require.True(t, d.Members()[0].Missing)
	require.Empty(t, d.Expire(time.Second+directory.GracePeriod-1))
	d.Put(entryAt(t, 2, 51, 10), 2*time.Second)
	require.False(t, d.Members()[0].Missing)
}

func TestWriteAfterRestoreReplacesRestoredEntry(t *testing.T) {
	d := directory.New()
	known := entryAt(t, 1, 300, 9)
	known.Primary = true
	d.Put(known, 0)
	older := entryAt(t, 2, 50, 4)
	require.False(t, d.Put(older, time.Second))
	require.True(t, d.Members()[0].Primary, "the restored role is older than the known one")
	newer := entryAt(t, 2, 60, 10)
	require.True(t, d.Put(newer, 2*time.Second))
	require.False(t, d.Members()[0].Primary)
}

// TestHostMissingTheRestoreAcceptsNewerEntry covers a host that first sees the new
// epoch after the member has written again.
func TestHostMissingTheRestoreAcceptsNewerEntry(t *testing.T) {
	d := directory.New()
	d.Put(entryAt(t, 1, 300, 9), 0)
	e := entryAt(t, 2, 80, 12)
	e.Leaving = true
	d.Replace([]directory.Entry{e}, e.Revision, 9*time.Second)
	require.True(t, d.Members()[0].Leaving)
}

// TestNewIncarnationAfterRestoreIsAccepted covers members without a start time: a new
// incarnation restarts its sequence at one and looks like a restored entry at first.
func TestNewIncarnationAfterRestoreIsAccepted(t *testing.T) {
	d := directory.New()
	known := entryAt(t, 1, 300, 90)
	known.Primary = true
	d.Put(known, 0)
	d.Put(entryAt(t, 2, 50, 1), time.Second)
	require.True(t, d.Members()[0].Primary, "it may be the restored entry")
	d.Put(entryAt(t, 2, 55, 2), 2*time.Second)
	require.False(t, d.Members()[0].Primary, "a second entry cannot be the restored one")
}

// TestDelayedWriteOfSameIncarnationIsIgnored covers a call without a response that the
// store executes seconds later, after newer ones.
func TestDelayedWriteOfSameIncarnationIsIgnored(t *testing.T) {
	d := directory.New()
	leaving := entryAt(t, 1, 300, 9)
	leaving.Leaving, leaving.StartedAt = true, 500
	d.Put(leaving, 0)
	delayed := entryAt(t, 1, 301, 8)
	delayed.StartedAt = 500
	require.False(t, d.Put(delayed, time.Second))
	require.True(t, d.Members()[0].Leaving)
}
