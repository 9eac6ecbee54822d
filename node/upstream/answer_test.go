package upstream

import (
	"bufio"
	"bytes"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// FuzzReadSegment guards against an answer that depends on how the network cuts the stream, and
// against one that takes bytes of the next.
func FuzzReadSegment(f *testing.F) {
	f.Add([]byte("T\x00\x00\x00\x06\x00\x00D\x00\x00\x00\x06\x00\x00C\x00\x00\x00\x0dSELECT 1\x00Z\x00\x00\x00\x05IZ\x00\x00\x00\x05T"))
	f.Add([]byte("N\x00\x00\x00\x05\x00A\x00\x00\x00\x08\x00\x00\x00\x01E\x00\x00\x00\x05\x00Z\x00\x00\x00\x05E"))
	f.Add([]byte("C\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		const limit = 1024
		whole := bufio.NewReader(bytes.NewReader(stream))
		pieces := bufio.NewReader(iotest.OneByteReader(bytes.NewReader(stream)))
		for {
			want, err := readSegment(whole, limit)
			got, gotErr := readSegment(pieces, limit)
			require.Equal(t, err, gotErr)
			require.Equal(t, want, got)
			if err != nil {
				return
			}
			require.LessOrEqual(t, len(want.whole().Frames), limit)
		}
	})
}

// TestMarkersDiffer guards against an echo being taken for that of another marker.
func TestMarkersDiffer(t *testing.T) {
	seen := map[string]uint32{}
	for _, base := range []uint32{0, 1 << 31, ^uint32(0) - 500} {
		for i := range uint32(1000) {
			_, echo, err := marker(base + i)
			require.NoError(t, err)
			if other, found := seen[string(echo)]; found {
				require.Equal(t, other, base+i)
			}
			seen[string(echo)] = base + i
		}
	}
}
