package main

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

// The raised GC percentage must come with a memory limit below the host's memory.
func TestConfigureGCSetsMemoryLimit(t *testing.T) {
	percent, limit := debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	defer func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}()
	debug.SetMemoryLimit(math.MaxInt64)
	configureGC(0)
	require.Equal(t, int64(math.MaxInt64), debug.SetMemoryLimit(-1), "unknown memory must set no limit")
	configureGC(184)
	require.Less(t, debug.SetMemoryLimit(-1), int64(184<<20))
	require.Equal(t, gcPercent, debug.SetGCPercent(100))
}
