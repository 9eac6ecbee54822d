package membership

import (
	"cmp"
	"slices"
)

// Top is the few hosts with the highest scores for a key, kept while hosts join
// and leave.
//
// Load pattern: every host of a fleet works out who looks after each of many
// keys, and hosts restart all day. One that joins is compared with the last of
// the few; one that leaves matters only where it is one of them. It is not safe
// for concurrent use.
type Top struct {
	key   string
	size  int
	hosts []ranked
	stale bool
}

// ranked is a host with its place.
type ranked struct {
	name string
	// tier goes before the score: a lower one is better.
	tier  int
	score uint64
}

func (a ranked) compare(b ranked) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}

// NewTop returns the top of no hosts.
func NewTop(key string, size int) *Top { return &Top{key: key, size: size} }

// Size returns how many hosts are kept at most.
func (t *Top) Size() int { return t.size }

// Join takes a host that has joined. Hosts of a lower tier go before all of a
// higher one. It reports whether the host is one of the top.
func (t *Top) Join(name string, tier int) bool {
	full := len(t.hosts) >= t.size
	if full && (t.size == 0 || tier > t.hosts[len(t.hosts)-1].tier) {
		return false
	}
	r := ranked{name: name, tier: tier, score: Score(t.key, name)}
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

// Leave takes a host that has left. It reports whether the host was one of the
// top.
func (t *Top) Leave(name string) bool {
	at := slices.IndexFunc(t.hosts, func(r ranked) bool { return r.name == name })
	if at < 0 {
		return false
	}
	// Where all places were taken, a host that is not known here comes next.
	t.stale = t.stale || len(t.hosts) == t.size
	t.hosts = slices.Delete(t.hosts, at, at+1)
	return true
}

// Stale reports whether a host that has left is to be replaced by one that this
// top does not know: it has to be made anew of all hosts.
func (t *Top) Stale() bool { return t.stale }

// Names returns the hosts, the best first.
func (t *Top) Names() []string {
	out := make([]string, 0, len(t.hosts))
	for _, r := range t.hosts {
		out = append(out, r.name)
	}
	return out
}

// Contains reports whether a host is one of the top.
func (t *Top) Contains(name string) bool {
	return slices.ContainsFunc(t.hosts, func(r ranked) bool { return r.name == name })
}
