package entry

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
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
	grant := *answer.Grant
	grant.Counters = h.quotaHosts(answer.Rumours)
	return grant, true
}

// announceCounter announces this host, which is joining, to a host that counts a team's
// usage. An announcement is a request for no operations that names its sender.
func (h *Host) announceCounter(ctx context.Context, address, team string, self quota.Host) ([]quota.Host, bool) {
	h.traffic.add(trafficQuota)
	answer, err := h.peers.Probe(ctx, address, gossip.Message{Self: memberOf(self), QuotaRequest: &gossip.QuotaRequest{Team: team}})
	if err != nil || answer.Grant == nil {
		h.log.Debug().Err(err).Str("peer", address).Str("team", team).Msg("quota announcement failed")
		return nil, false
	}
	return h.quotaHosts(answer.Rumours), true
}

// handleQuotaRequest answers a request for a grant, or the announcement of a joining
// host, and adds the team's counters if the sender needs them.
func (h *Host) handleQuotaRequest(m gossip.Message, out *gossip.Message) {
	q := m.QuotaRequest
	grant := quota.Grant{}
	if m.Self.ID != "" {
		grant.Counters = h.limiter.Announced(q.Team, h.quotaHost(m.Self))
	} else {
		grant = h.limiter.Acquire(q.Team, q.Operations)
	}
	for _, counter := range grant.Counters {
		out.Rumours = append(out.Rumours, memberOf(counter))
	}
	out.Grant = &grant
}

func memberOf(h quota.Host) membership.Host {
	return membership.Host{ID: h.Name, Zone: h.Zone, Peer: h.Address}
}

func (h *Host) quotaHost(m membership.Host) quota.Host {
	return quota.Host{Name: m.ID, Zone: m.Zone, Region: h.settings.Topology.Region(m.Zone), Address: m.Peer}
}

func (h *Host) quotaHosts(members []membership.Host) []quota.Host {
	var out []quota.Host
	for _, m := range members {
		out = append(out, h.quotaHost(m))
	}
	return out
}

// setFleet updates the fleet and the limiter's hosts. It is called with reconcileMu held.
func (h *Host) setFleet(f gates.Fleet) {
	if f.Generation() == h.fleet.Generation() {
		return
	}
	h.fleet = f
	var hosts []quota.Host
	addresses := map[string]string{}
	for _, other := range f.Hosts() {
		hosts = append(hosts, quota.Host{Name: other.Name, Zone: other.Zone, Region: h.settings.Topology.Region(other.Zone)})
		addresses[other.Name] = other.Address
	}
	h.limiter.SetFleet(hosts, addresses)
}
