package main

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCollectorKeepsAHostWithinItsMemory: garbage may be several times what is
// live, but the heap stays within the host's memory.
func TestCollectorKeepsAHostWithinItsMemory(t *testing.T) {
	percent, limit := debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	defer func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}()
	debug.SetMemoryLimit(math.MaxInt64)
	tuneCollector(0)
	require.Equal(t, int64(math.MaxInt64), debug.SetMemoryLimit(-1), "a memory that is not known is no limit")
	tuneCollector(184)
	require.Less(t, debug.SetMemoryLimit(-1), int64(184<<20))
	require.Equal(t, heapGrowth, debug.SetGCPercent(100))
}
