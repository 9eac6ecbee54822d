package membership

// Placement assigns upstreams to owners for one set of serving hosts. It is immutable.
// The cost of a lookup is linear in the hosts of one zone.
type Placement struct {
	hosts  []Host
	byZone map[string][]Host
}

// NewPlacement returns the placement over the serving hosts.
func NewPlacement(hosts []Host) *Placement {
	p := &Placement{hosts: hosts, byZone: make(map[string][]Host)}
	for _, h := range hosts {
		p.byZone[h.Zone] = append(p.byZone[h.Zone], h)
	}
	return p
}

// Hosts returns all serving hosts. The caller must not modify the slice.
func (p *Placement) Hosts() []Host { return p.hosts }

// Zone returns the hosts of one zone. The caller must not modify the slice.
func (p *Placement) Zone(zone string) []Host { return p.byZone[zone] }

// Owner returns the host that owns the pool of an upstream: the one with the highest
// score in the upstream's zone, or in the whole fleet if the zone has no hosts.
func (p *Placement) Owner(upstream, zone string) (Host, bool) {
	candidates := p.byZone[zone]
	if len(candidates) == 0 {
		candidates = p.hosts
	}
	return highestScore(upstream, candidates)
}
