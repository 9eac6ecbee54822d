package gates

import (
	"cmp"
	"slices"
)

const (
	// minPreferredHosts is the number of hosts of a zone that must be large for gates to
	// be placed on large hosts only. It is twice the usual number of gates of a member, so
	// that the loss of half of them moves no gate to a small host.
	minPreferredHosts = 6
	// minPreferredShare is the share of a zone's processor time that the large hosts must
	// have together. A gate takes about as much time for a statement as the host that
	// sends it, and hosts of a large fleet are mostly idle.
	minPreferredShare = 0.125
)

// minPreferredMilliCores returns the processor time from which on a host of a zone is
// preferred as a gate; zero if all hosts are equal.
//
// In a large fleet nearly every statement of a host goes to another member. If any host
// may be a gate, each host needs a connection to each other, and opens one for nearly
// every statement. With few gates the connections to them stay open. The largest hosts are
// preferred, if they are enough.
func minPreferredMilliCores(hosts []Host) int {
	total := 0
	for _, h := range hosts {
		total += h.MilliCores
	}
	bySize := slices.SortedFunc(slices.Values(hosts), func(a, b Host) int { return cmp.Compare(b.MilliCores, a.MilliCores) })
	sum := 0
	for i, h := range bySize {
		sum += h.MilliCores
		if i+1 >= minPreferredHosts && float64(sum) >= minPreferredShare*float64(total) {
			if h.MilliCores == bySize[len(bySize)-1].MilliCores {
				return 0
			}
			return h.MilliCores
		}
	}
	return 0
}
