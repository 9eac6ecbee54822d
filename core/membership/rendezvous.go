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

// best returns the host with the highest score for a key.
func best(key string, hosts []Host) (Host, bool) {
	var top Host
	var topScore uint64
	for i, h := range hosts {
		if score := Score(key, h.ID); i == 0 || score > topScore {
			top, topScore = h, score
		}
	}
	return top, len(hosts) > 0
}

// Ranked returns all hosts in falling order of score for a key.
func Ranked(key string, hosts []Host) []Host {
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(Score(key, b.ID), Score(key, a.ID)) })
	return out
}
