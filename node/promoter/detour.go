package promoter

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

// detour has statements for a primary that this host has lost go through hosts
// that reach it. Fault pattern: a primary is cut off from some of the hosts, too
// few to replace it; their callers would be refused until the cut heals, though
// the primary works.
func (p *Promoter) detour(failed string, now time.Duration) {
	if failed == "" || failed == noMember || !p.without.Enabled(mechanism.Detours) {
		return
	}
	p.mu.Lock()
	reaching := succession.HostsReaching(p.opinions.Current(p.lost, now))
	p.mu.Unlock()
	var addresses []string
	for _, host := range reaching {
		if address, known := p.peers.AddressOf(host); known {
			addresses = append(addresses, address)
		}
	}
	p.set.SetDetours(failed, addresses, now)
}
