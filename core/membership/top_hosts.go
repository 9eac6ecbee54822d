package membership

import (
	"cmp"
	"slices"
)

// TopHosts holds the hosts with the highest scores for a key and is updated
// incrementally while hosts join and leave, so that a restart in a large fleet does not
// require ranking all hosts for every key. It is not safe for concurrent use.
type TopHosts struct {
	key   string
	size  int
	hosts []ranked
	stale bool
}

// ranked is a host with its rank.
type ranked struct {
	name string
	// tier takes precedence over the score; a lower tier ranks higher.
	tier  int
	score uint64
}

func (a ranked) compare(b ranked) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}

// NewTopHosts returns an empty set of at most size hosts.
func NewTopHosts(key string, size int) *TopHosts { return &TopHosts{key: key, size: size} }

// Size returns the maximum number of hosts.
func (t *TopHosts) Size() int { return t.size }

// Add adds a host that has joined. Hosts of a lower tier rank before all hosts of a
// higher one. It reports whether the host is among the top hosts.
func (t *TopHosts) Add(name string, tier int) bool {
	if t.excludes(tier) {
		return false
	}
	return t.insert(ranked{name: name, tier: tier, score: Score(t.key, name)})
}

// AddAll adds hosts of one tier.
func (t *TopHosts) AddAll(names []string, tier int) {
	scorer := newScorer(t.key)
	for _, name := range names {
		if t.excludes(tier) {
			return
		}
		t.insert(ranked{name: name, tier: tier, score: scorer.score(name)})
	}
}

// excludes reports whether no host of a tier can be among the top hosts.
func (t *TopHosts) excludes(tier int) bool {
	return t.size == 0 || len(t.hosts) >= t.size && tier > t.hosts[len(t.hosts)-1].tier
}

// insert adds a host if it is among the top hosts, and reports whether it is.
func (t *TopHosts) insert(r ranked) bool {
	full := len(t.hosts) >= t.size
	if full && r.tier == t.hosts[len(t.hosts)-1].tier && r.score < t.hosts[len(t.hosts)-1].score {
		// Nearly all hosts of a large fleet end here.
		return false
	}
	at, found := slices.BinarySearchFunc(t.hosts, r, ranked.compare)
	if found || at >= t.size {
		return false
	}
	t.hosts = slices.Insert(t.hosts, at, r)
	if full {
		t.hosts = t.hosts[:t.size]
	}
	return true
}

// Remove removes a host that has left. It reports whether the host was among the top
// hosts.
func (t *TopHosts) Remove(name string) bool {
	at := slices.IndexFunc(t.hosts, func(r ranked) bool { return r.name == name })
	if at < 0 {
		return false
	}
	// If the set was full, the host that ranks next is not known.
	t.stale = t.stale || len(t.hosts) == t.size
	t.hosts = slices.Delete(t.hosts, at, at+1)
	return true
}

// Stale reports whether the set has to be rebuilt from all hosts, because a removed
// host must be replaced by one that is not known here.
func (t *TopHosts) Stale() bool { return t.stale }

// Names returns the hosts' names, the best first.
func (t *TopHosts) Names() []string {
	out := make([]string, 0, len(t.hosts))
	for _, r := range t.hosts {
		out = append(out, r.name)
	}
	return out
}

// Contains reports whether a host is among the top hosts.
func (t *TopHosts) Contains(name string) bool {
	return slices.ContainsFunc(t.hosts, func(r ranked) bool { return r.name == name })
}
