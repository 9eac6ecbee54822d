package entry

import (
	"context"
	"sync"

	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/gossip"
)

// opinion says what this host thinks of a primary that another one has lost.
func (h *Host) opinion(q gossip.LostQuestion) *gossip.Opinion {
	out := &gossip.Opinion{StoreReached: !h.registry.Away()}
	if p := h.promoter(q.Service); p != nil {
		out.Dead = p.Lost(h.ctx, q.Upstream)
	}
	return out
}

// Opinions implements promoter.Peers.
func (h *Host) Opinions(ctx context.Context, service, member string, hosts []string) []succession.Opinion {
	addresses := map[string]string{}
	for _, other := range h.registry.Fleet() {
		addresses[other.Name] = other.Address
	}
	var mu sync.Mutex
	var out []succession.Opinion
	var wg sync.WaitGroup
	for _, host := range hosts {
		address, known := addresses[host]
		if !known || host == h.settings.Host {
			continue
		}
		wg.Go(func() {
			answer, err := h.peers.Probe(ctx, address, gossip.Message{AskLost: &gossip.LostQuestion{Service: service, Upstream: member}})
			if err != nil || answer.Opinion == nil {
				// A host that does not answer has no voice; it is asked again.
				h.log.Debug().Err(err).Str("peer", host).Msg("a peer gave no opinion")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, succession.Opinion{Host: host, Dead: answer.Opinion.Dead, StoreReached: answer.Opinion.StoreReached})
		})
	}
	wg.Wait()
	return out
}
