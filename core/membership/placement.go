package membership

// Placement says which host owns what, for one set of serving hosts. It is
// immutable, and a lookup costs as much as there are hosts in one zone.
type Placement struct {
	hosts  []Host
	byZone map[string][]Host
}

// NewPlacement returns the placement over the hosts that serve.
func NewPlacement(hosts []Host) *Placement {
	p := &Placement{hosts: hosts, byZone: make(map[string][]Host)}
	for _, h := range hosts {
		p.byZone[h.Zone] = append(p.byZone[h.Zone], h)
	}
	return p
}

// Hosts returns all hosts that serve. The caller must not change them.
func (p *Placement) Hosts() []Host { return p.hosts }

// Zone returns the hosts of one zone. The caller must not change them.
func (p *Placement) Zone(zone string) []Host { return p.byZone[zone] }

// Owner returns the host that owns the pool of an upstream: the best by score
// among the hosts of the upstream's zone, or among all when the zone has none.
func (p *Placement) Owner(upstream, zone string) (Host, bool) {
	candidates := p.byZone[zone]
	if len(candidates) == 0 {
		candidates = p.hosts
	}
	return best(upstream, candidates)
}
