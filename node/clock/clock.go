// Package clock reads a clock that also counts the time in which the machine
// was suspended. Leases and the age of what a host knows are measured on it: a
// host that wakes up must find that what it believed is old.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only kernels older than this program's minimum lack the clock.
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Deadline turns an offset on this clock into a time for the network library.
func Deadline(at time.Duration) time.Time { return time.Now().Add(at - Now()) }
