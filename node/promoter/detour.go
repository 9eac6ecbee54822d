package promoter

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

// detour routes statements for a primary that is unreachable from this host
// through hosts that reach it. It serves partitions that cut the primary off from
// too few hosts to replace it.
func (p *Promoter) detour(primary string, now time.Duration) {
	if primary == "" || primary == noPrimary || !p.features.Enabled(feature.Detours) {
		return
	}
	p.mu.Lock()
	reaching := succession.HostsReaching(p.opinions.Current(p.lostPrimary, now))
	p.mu.Unlock()
	var addresses []string
	for _, host := range reaching {
		if address, known := p.peers.AddressOf(host); known {
			addresses = append(addresses, address)
		}
	}
	p.set.SetDetours(primary, addresses, now)
}
