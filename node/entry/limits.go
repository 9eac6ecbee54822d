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

// OperationUnused implements edge.Backend.
func (h *Host) OperationUnused(team catalog.Team) { h.limiter.Unused(team) }

// limitOf returns the limit of a team in the newest configuration.
func (h *Host) limitOf(team string) (quota.Limit, bool) {
	c := h.registry.Catalog()
	if c == nil {
		return quota.Limit{}, false
	}
	t, found := c.Teams.Team(team)
	return t.Limit, found
}

// askPayment asks the host that counts a team to pay for operations.
func (h *Host) askPayment(ctx context.Context, address, team string, wanted int) (quota.Payment, bool) {
	h.talk.add(talkQuota)
	answer, err := h.peers.Probe(ctx, address, gossip.Message{AskQuota: &gossip.QuotaQuestion{Team: team, Operations: wanted}})
	if err != nil || answer.Payment == nil {
		h.log.Debug().Err(err).Str("peer", address).Str("team", team).Msg("a question for a payment had no answer")
		return quota.Payment{}, false
	}
	return *answer.Payment, true
}

// setFleet takes the hosts that are registered. It belongs to reconcile.
func (h *Host) setFleet(f gates.Fleet) {
	if f.Generation() == h.fleet.Generation() && h.fleet.Generation() > 0 {
		return
	}
	h.fleet = f
	var hosts []quota.Host
	addresses := map[string]string{}
	for _, other := range f.Hosts() {
		hosts = append(hosts, quota.Host{Name: other.Name, Region: h.settings.Places.Region(other.Zone)})
		addresses[other.Name] = other.Address
	}
	h.limiter.SetFleet(hosts, addresses)
}
