package ledger_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/ledger"
)

func TestOnlyTimedKeysAreAccepted(t *testing.T) {
	for _, text := range []string{"", "abc", uuid.NewString(), uuid.Nil.String()} {
		_, err := ledger.ParseKey(text)
		var ke *ledger.KeyError
		require.ErrorAs(t, err, &ke, text)
	}
}

// TestAKeyOutlivesNoRow checks the rule that ties acceptance to trimming: a key
// that is still accepted has a row that is not trimmed, whatever the clocks of
// the host that wrote it and of the host that trims, within the skew allowed.
func TestAKeyOutlivesNoRow(t *testing.T) {
	id, err := uuid.NewV7()
	require.NoError(t, err)
	key, err := ledger.ParseKey(id.String())
	require.NoError(t, err)
	issued := time.Now()
	require.False(t, key.Expired(issued))
	require.True(t, key.Expired(issued.Add(ledger.AcceptFor+time.Second)))
	require.True(t, key.Expired(issued.Add(-ledger.ClockSkew-time.Second)), "a key from the future")

	lastUse := issued.Add(ledger.AcceptFor - time.Second)
	require.False(t, key.Expired(lastUse))
	written := ledger.Stamp(issued.Add(-ledger.ClockSkew)) // by a slow clock
	trimmer := lastUse.Add(ledger.ClockSkew)               // a fast one
	require.GreaterOrEqual(t, written, ledger.TrimBefore(trimmer.Add(-2*time.Second)))
}

func TestTeamsDoNotShareKeys(t *testing.T) {
	id, err := uuid.NewV7()
	require.NoError(t, err)
	key, err := ledger.ParseKey(id.String())
	require.NoError(t, err)
	require.NotEqual(t, key.Row("a"), key.Row("b"))
	require.NotEqual(t, ledger.Fingerprint([]byte("x")), ledger.Fingerprint([]byte("y")))
}
