package crlf_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/crlf"
)

// TestMessageEndsWithCRLFOnly guards against a stand-in that ends messages where the
// protocol does not, and so hides that a host does.
func TestMessageEndsWithCRLFOnly(t *testing.T) {
	sent := []string{"a\nb", "", "\r", "\n\r", "c\x00\rd", strings.Repeat("x", 10_000) + "\n"}
	r := crlf.NewReader(iotest.OneByteReader(strings.NewReader(strings.Join(sent, crlf.End) + crlf.End + "rest")))
	for _, want := range sent {
		got, err := r.Read()
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	rest, err := r.Read()
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, "rest", rest)
}
