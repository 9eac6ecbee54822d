package entry

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/node/gossip"
)

// AdmitOperation implements edge.Backend.
func (h *Host) AdmitOperation(ctx context.Context, team catalog.Team) (time.Duration, bool) {
	retryAfter, admitted := h.limiter.Admit(ctx, team)
	if team.Limit.Bounded {
		h.metrics.operation(team.Name, admitted)
	}
	return retryAfter, admitted
}

// RefundOperation implements edge.Backend.
func (h *Host) RefundOperation(team catalog.Team) { h.limiter.Refund(team) }

// limitOf returns the limit of a team in the active configuration.
func (h *Host) limitOf(team string) (quota.Limit, bool) {
	c := h.registry.Catalog()
	if c == nil {
		return quota.Limit{}, false
	}
	t, found := c.Teams.Team(team)
	return t.Limit, found
}

// requestGrant requests quota for a team's operations from a host that counts the
// team's usage.
func (h *Host) requestGrant(ctx context.Context, address, team string, wanted int) (quota.Grant, bool) {
	h.traffic.add(trafficQuota)
	answer, err := h.peers.Probe(ctx, address, gossip.Message{QuotaRequest: &gossip.QuotaRequest{Team: team, Operations: wanted}})
	if err != nil || answer.Grant == nil {
		h.log.Debug().Err(err).Str("peer", address).Str("team", team).Msg("quota grant request failed")
		return quota.Grant{}, false
	}
	return *answer.Grant, true
}

// setFleet updates the fleet and the limiter's hosts. Only reconcile calls it.
func (h *Host) setFleet(f gates.Fleet) {
	if f.Generation() == h.fleet.Generation() {
		return
	}
	h.fleet = f
	var hosts []quota.Host
	addresses := map[string]string{}
	for _, other := range f.Hosts() {
		hosts = append(hosts, quota.Host{Name: other.Name, Region: h.settings.Topology.Region(other.Zone)})
		addresses[other.Name] = other.Address
	}
	h.limiter.SetFleet(hosts, addresses)
}
