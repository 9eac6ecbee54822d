package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// said returns an entry of member "a" as it was written with a count, at a position
// of the store.
func said(t *testing.T, epoch store.Epoch, number, sequence uint64) directory.Entry {
	t.Helper()
	r, err := store.NewRevision(epoch, number)
	require.NoError(t, err)
	e := entry("a", r)
	e.Sequence = sequence
	return e
}

// lives are the two kinds of members: those that tell when they started, and those
// of an earlier version that do not.
var lives = map[string]directory.StartTime{"told": 500, "not told": 0}

// TestCopyDoesNotTakeALeaveBack: the member had announced its end after the copy was
// made.
func TestCopyDoesNotTakeALeaveBack(t *testing.T) {
	for name, startedAt := range lives {
		d := directory.New()
		leaving := said(t, 1, 300, 9)
		leaving.Leaving, leaving.StartedAt = true, startedAt
		d.Put(leaving, time.Second)
		older := said(t, 2, 50, 4)
		older.StartedAt = startedAt
		d.Replace([]directory.Entry{older}, older.Revision, 2*time.Second)
		require.True(t, d.Members()[0].Leaving, name)
		require.Equal(t, time.Second, d.Members()[0].LeavingSince, name)
	}
}

// TestMemberThatLeftIsNotBroughtBackByACopy: nobody answers at its address, or
// another member does.
func TestMemberThatLeftIsNotBroughtBackByACopy(t *testing.T) {
	d := directory.New()
	leaving := said(t, 1, 300, 9)
	leaving.Leaving = true
	d.Put(leaving, 0)
	d.Lose("a", leaving.Revision+1, time.Second)
	require.Empty(t, d.Members())
	copied := said(t, 2, 50, 9)
	d.Replace([]directory.Entry{copied}, copied.Revision, 2*time.Second)
	require.Empty(t, d.Members())
	require.Empty(t, d.Expire(20*time.Second))
	d.Replace([]directory.Entry{copied}, copied.Revision+9, 21*time.Second)
	require.Empty(t, d.Members(), "also some time later, as long as the copy's entry may stand")
	d.Put(said(t, 2, 60, 10), 22*time.Second)
	require.Len(t, d.Members(), 1, "a member that writes again is there")
}

// TestMemberMissingFromACopyHasTimeToWriteAgain: it joined after the copy was made.
func TestMemberMissingFromACopyHasTimeToWriteAgain(t *testing.T) {
	d := directory.New()
	d.Put(said(t, 1, 300, 9), 0)
	d.Replace(nil, said(t, 2, 50, 0).Revision, time.Second)
	require.True(t, d.Members()[0].Missing)
	require.Empty(t, d.Expire(time.Second+directory.Grace-1))
	d.Put(said(t, 2, 51, 10), 2*time.Second)
	require.False(t, d.Members()[0].Missing)
}

// TestMemberWritesOverItsCopy: what it says after the restore counts.
func TestMemberWritesOverItsCopy(t *testing.T) {
	d := directory.New()
	known := said(t, 1, 300, 9)
	known.Primary = true
	d.Put(known, 0)
	older := said(t, 2, 50, 4)
	require.False(t, d.Put(older, time.Second))
	require.True(t, d.Members()[0].Primary, "a role of the copy is older than the one known")
	newer := said(t, 2, 60, 10)
	require.True(t, d.Put(newer, 2*time.Second))
	require.False(t, d.Members()[0].Primary)
}

// TestHostThatWasAwayTakesWhatTheMemberSaidSince: it first hears of the new epoch
// after the member has written again.
func TestHostThatWasAwayTakesWhatTheMemberSaidSince(t *testing.T) {
	d := directory.New()
	d.Put(said(t, 1, 300, 9), 0)
	e := said(t, 2, 80, 12)
	e.Leaving = true
	d.Replace([]directory.Entry{e}, e.Revision, 9*time.Second)
	require.True(t, d.Members()[0].Leaving)
}

// TestNewLifeAfterARestoreIsBelieved: members that do not tell when they started
// count from one again, as their entries of the copy may seem to.
func TestNewLifeAfterARestoreIsBelieved(t *testing.T) {
	d := directory.New()
	known := said(t, 1, 300, 90)
	known.Primary = true
	d.Put(known, 0)
	d.Put(said(t, 2, 50, 1), time.Second)
	require.True(t, d.Members()[0].Primary, "it may be the copy's")
	d.Put(said(t, 2, 55, 2), 2*time.Second)
	require.False(t, d.Members()[0].Primary, "the copy's entry does not change")
}

// TestLateWriteOfTheSameLifeChangesNothing: a call without an answer may be carried
// out seconds later, after newer ones.
func TestLateWriteOfTheSameLifeChangesNothing(t *testing.T) {
	d := directory.New()
	leaving := said(t, 1, 300, 9)
	leaving.Leaving, leaving.StartedAt = true, 500
	d.Put(leaving, 0)
	late := said(t, 1, 301, 8)
	late.StartedAt = 500
	require.False(t, d.Put(late, time.Second))
	require.True(t, d.Members()[0].Leaving)
}
