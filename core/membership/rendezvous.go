package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is the weight of a host for a key in rendezvous hashing (Thaler and
// Ravishankar, 1998): the key belongs to the host with the highest score, so
// a host that joins or leaves moves only the keys it gains or held.
func Score(key, host string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// Owner returns the host that owns the pool of an upstream: the best by score
// among the hosts of the upstream's zone, or among all when the zone has none.
func Owner(upstream, zone string, hosts []Host) (Host, bool) {
	best, found := best(upstream, hosts, func(h Host) bool { return h.Zone == zone })
	if found {
		return best, true
	}
	return bestOfAll(upstream, hosts)
}

func bestOfAll(upstream string, hosts []Host) (Host, bool) {
	return best(upstream, hosts, func(Host) bool { return true })
}

func best(key string, hosts []Host, eligible func(Host) bool) (Host, bool) {
	var top Host
	var topScore uint64
	found := false
	for _, h := range hosts {
		if !eligible(h) {
			continue
		}
		score := Score(key, h.ID)
		if !found || score > topScore {
			top, topScore, found = h, score, true
		}
	}
	return top, found
}

// Ranked returns all hosts in falling order of score for a key.
func Ranked(key string, hosts []Host) []Host {
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(Score(key, b.ID), Score(key, a.ID)) })
	return out
}
