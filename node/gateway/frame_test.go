package gateway

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/outcome"
)

const testMessageLimit = 1024

func header(kind byte, length uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{kind}, length)
}

// TestLengthsOutOfRange guards against a caller's message being cut in another place than the
// caller meant, which would run the rest of it as statements.
func TestLengthsOutOfRange(t *testing.T) {
	for length, code := range map[uint32]outcome.Code{
		0: outcome.ProtocolViolation, 3: outcome.ProtocolViolation, 1<<32 - 1: outcome.ProtocolViolation,
		1 << 31: outcome.ProtocolViolation, testMessageLimit + 1: outcome.TooLarge, 1<<31 - 1: outcome.TooLarge,
	} {
		f := framer{started: true, limit: testMessageLimit}
		frames, refusal := f.feed(append(header('Q', length), make([]byte, 64)...))
		require.NotNil(t, refusal, "%d", length)
		require.Equal(t, code, refusal.Code, "%d", length)
		require.Empty(t, frames)
	}
}

// FuzzFramer guards against messages that depend on how the network cuts the stream.
func FuzzFramer(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x08\x04\xd2\x16\x2f\x00\x00\x00\x09\x00\x03\x00\x00\x00Q\x00\x00\x00\x06x\x00S\x00\x00\x00\x04"), uint8(1))
	f.Add(append(header('Q', 5), 0, 'X', 0, 0, 0, 4), uint8(3))
	f.Fuzz(func(t *testing.T, stream []byte, chunk uint8) {
		whole := framer{limit: testMessageLimit}
		want, wantRefusal := whole.feed(stream)
		pieces := framer{limit: testMessageLimit}
		var got []frame
		size := max(int(chunk), 1)
		for rest := stream; len(rest) > 0; {
			n := min(size, len(rest))
			frames, refusal := pieces.feed(rest[:n])
			got = append(got, frames...)
			if refusal != nil {
				require.Equal(t, wantRefusal, refusal)
				require.Equal(t, want, got)
				return
			}
			rest = rest[n:]
		}
		require.Nil(t, wantRefusal)
		require.Equal(t, want, got)
		total := len(pieces.buf)
		started := false
		for _, fr := range got {
			total += len(fr.body) + startupHeaderSize
			if started {
				total++
			}
			started = started || pieces.endsStartup(fr.body) && fr.msgType == 0
		}
		require.Equal(t, len(stream), total)
	})
}
