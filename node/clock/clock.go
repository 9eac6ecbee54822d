// Package clock reads CLOCK_BOOTTIME, which keeps counting while the machine is
// suspended. Lease expiry and the age of cached state are measured on it, so
// that both are treated as stale after a resume.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including time in suspension.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel version has this clock.
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Deadline converts a time on this clock to a time.Time, as net.Conn deadlines
// require.
func Deadline(at time.Duration) time.Time { return time.Now().Add(at - Now()) }
