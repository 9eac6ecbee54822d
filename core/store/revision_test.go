package store_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// A restore makes the store reuse lower numbers; revisions must still compare in
// order.
func TestRevisionsOfLaterEpochsCompareGreater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		epoch := rapid.Uint64Range(0, 1<<24-2).Draw(t, "epoch")
		earlier, err := store.NewRevision(store.Epoch(epoch), rapid.Uint64Range(0, 1<<40-1).Draw(t, "earlier"))
		require.NoError(t, err)
		number := rapid.Uint64Range(0, 1<<40-1).Draw(t, "later")
		later, err := store.NewRevision(store.Epoch(epoch+1), number)
		require.NoError(t, err)
		require.Greater(t, later, earlier)
		require.Equal(t, number, later.Number())
		require.Equal(t, store.Epoch(epoch+1), later.Epoch())
	})
}

func TestNewRevisionRejectsOutOfRange(t *testing.T) {
	var rangeErr *store.RangeError
	_, err := store.NewRevision(1<<24, 0)
	require.ErrorAs(t, err, &rangeErr)
	_, err = store.NewRevision(0, 1<<40)
	require.ErrorAs(t, err, &rangeErr)
}

// Without epochs a revision must equal the store's number, which other systems use,
// for example as a fencing token.
func TestRevisionInEpochZeroEqualsNumber(t *testing.T) {
	r, err := store.NewRevision(0, 319)
	require.NoError(t, err)
	require.EqualValues(t, 319, r)
	require.Equal(t, "0.319", r.String())
}
