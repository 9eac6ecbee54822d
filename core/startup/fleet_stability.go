package startup

import "time"

const (
	// stablePeriod is how long the known fleet must not have grown by more than a
	// tenth. It exceeds the time in which hosts that start together learn of each
	// other.
	stablePeriod = 150 * time.Millisecond
	// maxStabilityWait is the longest wait for a stable fleet, during which callers
	// wait too. The shortest latency objective is about half of it.
	maxStabilityWait = 600 * time.Millisecond
)

// FleetStability decides when a host that has just started knows the other hosts well
// enough to share the members' connections with them.
//
// If all hosts start while their registrations have expired, each of them knows hardly
// any others at first. Without the wait, most hosts would become gates and open more
// connections than the members accept. It is not safe for concurrent use.
type FleetStability struct {
	// firstSeenAt is the time of the first observation, and grownAt the time at which
	// the fleet last grew by more than a tenth, to size.
	firstSeenAt, grownAt time.Duration
	size                 int
	stable               bool
}

// Observe records how many hosts are known. WasRegistered is set if this host was still
// registered when it started: no registration has expired, so the fleet is known and
// stable.
func (f *FleetStability) Observe(size int, wasRegistered bool, now time.Duration) {
	switch {
	case f.stable:
	case wasRegistered:
		f.stable = true
	case f.firstSeenAt == 0:
		f.firstSeenAt, f.grownAt, f.size = now, now, size
	case size > f.size+f.size/10:
		f.grownAt, f.size = now, size
	}
}

// Stable reports whether the fleet is known well enough. Once true, it stays true.
func (f *FleetStability) Stable(now time.Duration) bool {
	f.stable = f.stable || f.firstSeenAt > 0 && now >= f.StableAt()
	return f.stable
}

// StableAt returns when the fleet becomes stable unless it grows.
func (f *FleetStability) StableAt() time.Duration {
	return min(f.grownAt+stablePeriod, f.firstSeenAt+maxStabilityWait)
}
