package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is the weight of a host for a key in rendezvous hashing (Thaler and
// Ravishankar, 1998). A key belongs to the host with the highest score, so a host that
// joins or leaves moves only its own keys.
func Score(key, host string) uint64 {
	return newScorer(key).score(host)
}

// scorer computes the scores of many hosts for one key, equal to those of Score.
type scorer struct{ prefix xxhash.Digest }

func newScorer(key string) scorer {
	var s scorer
	s.prefix.Reset()
	_, _ = s.prefix.WriteString(key)
	_, _ = s.prefix.Write([]byte{0})
	return s
}

func (s scorer) score(host string) uint64 {
	d := s.prefix
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// highestScore returns the host with the highest score for a key.
func highestScore(key string, hosts []Host) (Host, bool) {
	var top Host
	var topScore uint64
	for i, h := range hosts {
		if score := Score(key, h.ID); i == 0 || score > topScore {
			top, topScore = h, score
		}
	}
	return top, len(hosts) > 0
}

// Ranked returns the hosts in descending order of score for a key.
func Ranked(key string, hosts []Host) []Host {
	return RankBy(key, hosts, func(h Host) string { return h.ID })
}

// RankBy returns the items in descending order of score for a key, identified by name.
// It computes each score once, not at every comparison of the sort.
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
