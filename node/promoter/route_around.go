package promoter

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

// routeAround routes statements for a primary that is unreachable from this host
// through hosts that reach it. This covers partitions in which only a minority of
// the hosts loses the primary, which is then not replaced.
func (p *Promoter) routeAround(primary string, now time.Duration) {
	if primary == "" || primary == noPrimary || !p.features.Enabled(feature.Detours) {
		return
	}
	p.mu.Lock()
	reaching := succession.HostsReaching(p.peerReports.Current(p.deadIncarnation, now))
	p.mu.Unlock()
	var addresses []string
	for _, host := range reaching {
		if address, known := p.peers.AddressOf(host); known {
			addresses = append(addresses, address)
		}
	}
	p.set.SetAlternateHosts(primary, addresses, now)
}
