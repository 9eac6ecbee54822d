package pgframe_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/pgframe"
)

func TestNext(t *testing.T) {
	buf := []byte{'1', 0, 0, 0, 4, 'Z', 0, 0, 0, 5, 'I', 'D', 0, 0}
	first, rest, ok := pgframe.Next(buf)
	require.True(t, ok)
	require.Equal(t, buf[:5], first)
	second, rest, ok := pgframe.Next(rest)
	require.True(t, ok)
	require.Equal(t, byte('Z'), second[0])
	_, rest, ok = pgframe.Next(rest)
	require.False(t, ok)
	require.Len(t, rest, 3)
	_, _, ok = pgframe.Next([]byte{'D', 0, 0, 0, 3, 0, 0})
	require.False(t, ok, "length smaller than the length field")
	_, _, ok = pgframe.Next([]byte{'D', 0, 0, 0, 9, 0, 0})
	require.False(t, ok, "truncated message")
}

// TestSizeRejectsInvalidLengths guards against lengths that are negative, or smaller than the
// length field, being taken for sizes.
func TestSizeRejectsInvalidLengths(t *testing.T) {
	for _, header := range [][]byte{
		{'D', 0, 0, 0, 0}, {'D', 0, 0, 0, 3}, {'D', 0x7f, 0xff, 0xff, 0xff}, {'D', 0x80, 0, 0, 0}, {'D', 0xff, 0xff, 0xff, 0xff},
	} {
		_, ok := pgframe.Size(header)
		require.False(t, ok, "%v", header)
	}
	size, ok := pgframe.Size([]byte{'D', 0, 0, 0, 4})
	require.True(t, ok)
	require.Equal(t, pgframe.HeaderSize, size)
}

// FuzzNext guards against messages that are not cut where their lengths say, and against bytes
// that are lost or read twice.
func FuzzNext(f *testing.F) {
	f.Add([]byte{'1', 0, 0, 0, 4, 'Z', 0, 0, 0, 5, 'I'})
	f.Add([]byte{'D', 0xff, 0xff, 0xff, 0xff, 'Z'})
	f.Add([]byte{'D', 0, 0, 0, 3})
	f.Fuzz(func(t *testing.T, buf []byte) {
		var joined []byte
		rest := buf
		for {
			message, after, ok := pgframe.Next(rest)
			if !ok {
				require.Equal(t, rest, after)
				break
			}
			size, valid := pgframe.Size(message)
			require.True(t, valid)
			require.Len(t, message, size)
			joined = append(joined, message...)
			rest = after
		}
		require.Equal(t, string(buf), string(joined)+string(rest))
	})
}
