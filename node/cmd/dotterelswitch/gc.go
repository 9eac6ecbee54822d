package main

import "runtime/debug"

const (
	// heapMemoryFraction is the fraction of a host's memory that is set as Go's memory
	// limit; the rest is for the operating system's buffers.
	heapMemoryFraction = 0.6
	// gcPercent is higher than Go's default of 100: the live heap is small, so more
	// garbage costs little memory and saves processor time.
	gcPercent = 200
)

// configureGC configures the garbage collector for a host with the given memory in
// MB, zero if it is unknown.
func configureGC(memoryMB int) {
	debug.SetGCPercent(gcPercent)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(heapMemoryFraction * float64(memoryMB) * (1 << 20)))
	}
}
