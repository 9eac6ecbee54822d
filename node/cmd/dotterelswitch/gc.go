package main

import "runtime/debug"

const (
	// heapMemoryFraction is the fraction of a host's memory that is set as Go's memory
	// limit; the rest is for the operating system's buffers.
	heapMemoryFraction = 0.6
	// gcPercent is Go's default. A host of a large fleet is mostly idle, and less
	// frequent collections cost it more in memory than they save in processor time.
	gcPercent = 100
)

// configureGC configures the garbage collector for a host with the given memory in
// MB, zero if it is unknown.
func configureGC(memoryMB int) {
	debug.SetGCPercent(gcPercent)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(heapMemoryFraction * float64(memoryMB) * (1 << 20)))
	}
}
