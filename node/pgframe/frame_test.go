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
