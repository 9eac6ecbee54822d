package txid

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSequencesDoNotOverlap guards against a host that issues the IDs of its earlier
// process again after a restart.
func TestSequencesDoNotOverlap(t *testing.T) {
	issued := map[uint64]bool{}
	for range 100 {
		s := NewSequence()
		for range 100 {
			id := s.Next()
			require.False(t, issued[id], "ID %d was issued twice", id)
			issued[id] = true
		}
	}
}

func TestSequenceSkipsZero(t *testing.T) {
	var s Sequence
	s.last.Store(math.MaxUint64)
	require.Equal(t, uint64(1), s.Next())
}
