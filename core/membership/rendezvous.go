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
	return RankBy(key, hosts, func(h Host) string { return h.ID })
}

// RankBy returns items in falling order of score for a key, by the name of each.
// Every item is scored once: a sort that asks for the score at each comparison
// hashes each of 300 hosts 16 times.
func RankBy[T any](key string, items []T, name func(T) string) []T {
	type scored struct {
		score uint64
		item  T
	}
	ranked := make([]scored, 0, len(items))
	for _, i := range items {
		ranked = append(ranked, scored{score: Score(key, name(i)), item: i})
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]T, 0, len(items))
	for _, r := range ranked {
		out = append(out, r.item)
	}
	return out
}
