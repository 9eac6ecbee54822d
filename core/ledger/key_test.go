package ledger_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/ledger"
)

func TestParseKeyAcceptsOnlyUUIDv7(t *testing.T) {
	for _, text := range []string{"", "abc", uuid.NewString(), uuid.Nil.String()} {
		_, err := ledger.ParseKey(text)
		var keyErr *ledger.KeyError
		require.ErrorAs(t, err, &keyErr, text)
	}
}

// TestRowOutlivesItsKey checks that the row of a key that is still accepted is not
// deleted, if the clocks of the host that wrote it and of the host that deletes rows
// differ from the caller's by up to MaxClockSkew.
func TestRowOutlivesItsKey(t *testing.T) {
	id, err := uuid.NewV7()
	require.NoError(t, err)
	key, err := ledger.ParseKey(id.String())
	require.NoError(t, err)
	issued := time.Now()
	require.False(t, key.Expired(issued))
	require.True(t, key.Expired(issued.Add(ledger.MaxKeyAge+time.Second)))
	require.True(t, key.Expired(issued.Add(-ledger.MaxClockSkew-time.Second)), "a key from too far in the future must be rejected")

	lastUse := issued.Add(ledger.MaxKeyAge - time.Second)
	require.False(t, key.Expired(lastUse))
	rowTimestamp := ledger.FormatTimestamp(issued.Add(-ledger.MaxClockSkew)) // written by a slow clock
	trimTime := lastUse.Add(ledger.MaxClockSkew)                             // deleted by a fast clock
	require.GreaterOrEqual(t, rowTimestamp, ledger.TrimCutoff(trimTime.Add(-2*time.Second)))
}

func TestRowKeysAndFingerprintsAreDistinct(t *testing.T) {
	id, err := uuid.NewV7()
	require.NoError(t, err)
	key, err := ledger.ParseKey(id.String())
	require.NoError(t, err)
	require.NotEqual(t, key.RowKey("a"), key.RowKey("b"))
	require.NotEqual(t, ledger.Fingerprint([]byte("x")), ledger.Fingerprint([]byte("y")))
}
