package gates

import (
	"maps"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

// Fleet is the set of live hosts, grouped by zone. The plans of all services share one
// grouping, so that ranking the gates of a member does not sort the whole fleet
// (BenchmarkPlan).
type Fleet struct {
	names        []string
	byName       map[string]Host
	byZone       map[string][]Host
	regionByZone map[string]string
	// preferred and others are the names of the hosts of each zone that are preferred as
	// gates, and of those that are not.
	preferred, others map[string][]string
	// minMilliCores is the processor time from which on a host of a zone is preferred as
	// a gate; a zone whose hosts are equal has none.
	minMilliCores map[string]int
	// generation counts the changes since the first fleet; zero means that the
	// predecessor is unknown.
	generation uint64
	// change is the difference from the predecessor.
	change Change
	// rankingChanged is set if hosts that are in both fleets rank differently.
	rankingChanged bool
}

// Change is the difference between a fleet and its predecessor. A host whose address
// has changed is in both lists.
type Change struct {
	Joined, Left []Host
}

// NewFleet groups hosts by zone. The map gives the region of each zone.
func NewFleet(hosts []Host, regionByZone map[string]string) Fleet {
	f := Fleet{names: make([]string, 0, len(hosts)), byName: make(map[string]Host, len(hosts)), byZone: map[string][]Host{}, regionByZone: regionByZone}
	for _, h := range hosts {
		f.names = append(f.names, h.Name)
		f.byName[h.Name] = h
		f.byZone[h.Zone] = append(f.byZone[h.Zone], h)
	}
	f.minMilliCores, f.preferred, f.others = map[string]int{}, map[string][]string{}, map[string][]string{}
	for zone, hosts := range f.byZone {
		if limit := minPreferredMilliCores(hosts); limit > 0 {
			f.minMilliCores[zone] = limit
		}
		for _, h := range hosts {
			if h.MilliCores >= f.minMilliCores[zone] {
				f.preferred[zone] = append(f.preferred[zone], h.Name)
			} else {
				f.others[zone] = append(f.others[zone], h.Name)
			}
		}
	}
	return f
}

// Next returns the fleet that succeeds this one, so that cached results can be updated
// by the difference. It returns this fleet if nothing has changed.
func (f Fleet) Next(hosts []Host) Fleet {
	next := NewFleet(hosts, f.regionByZone)
	change := Change{Joined: missingFrom(f, next), Left: missingFrom(next, f)}
	if f.generation > 0 && len(change.Joined) == 0 && len(change.Left) == 0 {
		return f
	}
	next.generation, next.change = f.generation+1, change
	next.rankingChanged = !maps.Equal(f.minMilliCores, next.minMilliCores)
	return next
}

// missingFrom returns the hosts of b that are not in a.
func missingFrom(a, b Fleet) []Host {
	var out []Host
	for name, h := range b.byName {
		if a.byName[name] != h {
			out = append(out, h)
		}
	}
	return out
}

// Generation identifies the fleet among its successors.
func (f Fleet) Generation() uint64 { return f.generation }

// ChangeSince returns the change since a generation. It reports false if the change is
// not known and cached results must be recomputed.
func (f Fleet) ChangeSince(generation uint64) (Change, bool) {
	switch {
	case f.generation == 0 || generation == 0:
		return Change{}, false
	case generation == f.generation:
		return Change{}, true
	case generation+1 == f.generation && !f.rankingChanged:
		return f.change, true
	default:
		return Change{}, false
	}
}

// Size returns the number of hosts.
func (f Fleet) Size() int { return len(f.names) }

// Names returns the hosts' names in no particular order. The caller must not modify the
// slice.
func (f Fleet) Names() []string { return f.names }

// The distances between two zones.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

// nearestHosts ranks the hosts for the gates of a member: those of its zone first, then
// those of its region, then the others. Of each, the preferred ones come first, and among
// those rendezvous hashing decides.
func (f Fleet) nearestHosts(m Member, count int) *membership.TopHosts {
	top := membership.NewTopHosts(m.ID, count)
	found := 0
	for d := sameZone; d <= otherRegion && found < count; d++ {
		for zone, hosts := range f.byZone {
			if f.distance(zone, m.Zone) != d {
				continue
			}
			found += len(hosts)
			top.AddAll(f.preferred[zone], 2*d)
			top.AddAll(f.others[zone], 2*d+1)
		}
	}
	return top
}

// hostsByName returns the hosts with the given names.
func (f Fleet) hostsByName(names []string) []Host {
	out := make([]Host, 0, len(names))
	for _, name := range names {
		out = append(out, f.byName[name])
	}
	return out
}

// tier ranks a host for the gates of a member in a zone; a lower one ranks higher.
func (f Fleet) tier(h Host, memberZone string) int {
	tier := 2 * f.distance(h.Zone, memberZone)
	if h.MilliCores < f.minMilliCores[h.Zone] {
		tier++
	}
	return tier
}

func (f Fleet) distance(a, b string) int {
	switch {
	case a == b:
		return sameZone
	case f.regionByZone[a] != "" && f.regionByZone[a] == f.regionByZone[b]:
		return sameRegion
	default:
		return otherRegion
	}
}

func hostName(h Host) string { return h.Name }

// Hosts returns the hosts in no particular order.
func (f Fleet) Hosts() []Host {
	out := make([]Host, 0, len(f.byName))
	for _, h := range f.byName {
		out = append(out, h)
	}
	return out
}
