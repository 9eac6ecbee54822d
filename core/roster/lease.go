package roster

import (
	"math/rand/v2"
	"time"
)

const (
	// minLeaseTTL is the time after its last renewal for which a host of a small fleet
	// stays registered. A promotion needs a majority of a group's voters, and a lost voter
	// is replaced when its registration ends.
	minLeaseTTL = 6 * time.Second
	// leaseTTLPerHost makes the calls of the whole fleet for renewals independent of its
	// size, once leases are longer than minLeaseTTL: 100 a second.
	leaseTTLPerHost = 20 * time.Millisecond
	// maxLeaseTTL bounds the time for which a lost region keeps its votes.
	maxLeaseTTL = 20 * time.Second
)

// LeaseTTL returns the time after its last renewal for which a host of a fleet of the
// given size stays registered. Hosts that do not answer are passed over before that: only
// votes and the choice of gates follow the registrations.
func LeaseTTL(hosts int) time.Duration {
	return min(max(time.Duration(hosts)*leaseTTLPerHost, minLeaseTTL), maxLeaseTTL)
}

// NeedsLongerLease reports whether a lease is too short for a fleet of the given size. A
// lease is not replaced for a few hosts more.
func NeedsLongerLease(ttl time.Duration, hosts int) bool { return LeaseTTL(hosts) >= ttl+ttl/2 }

// RenewalInterval returns the time between two renewals of a lease.
func RenewalInterval(ttl time.Duration) time.Duration { return ttl / 2 }

// FirstRenewalDelay returns the time between a registration and the first renewal of its
// lease: at least half of the interval, and a random part of the rest. Hosts that register
// together would otherwise renew their leases in the same moment ever after.
func FirstRenewalDelay(ttl time.Duration, rng *rand.Rand) time.Duration {
	least := RenewalInterval(ttl) / 2
	return least + time.Duration(rng.Int64N(int64(RenewalInterval(ttl)-least)+1))
}
