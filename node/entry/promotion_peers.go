package entry

import (
	"context"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/gossip"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// peerReport answers another host's request for a report on a primary.
func (h *Host) peerReport(q gossip.PeerReportRequest) *gossip.PeerReport {
	g := h.use(q.Service)
	if g == nil {
		return &gossip.PeerReport{}
	}
	g.set.ObserveLogMark(q.Mark)
	report := g.promoter.PeerReport(h.ctx, q.Upstream)
	return &gossip.PeerReport{
		Dead: report.Dead, Reaches: report.Reaches, StoreReached: report.StoreReached, Lock: report.Lock, Leading: report.Leading,
		Mark: lossMark(g.set), Settled: report.Settled, SettledTerm: report.SettledTerm,
	}
}

// lossMark returns the mark that shows the loss of the primary's log; the zero value if
// this host knows of none. Other hosts check it before they vote.
func lossMark(s *replicaset.Set) succession.LogMark {
	if mark := s.LogMark(); mark.Lost {
		return mark
	}
	return succession.LogMark{}
}

// AddressOf implements promoter.Peers.
func (h *Host) AddressOf(host string) (string, bool) { return h.registry.AddressOf(host) }

// RequestPeerReport implements promoter.Peers.
func (h *Host) RequestPeerReport(ctx context.Context, service, primary, host string) (succession.PeerReport, bool) {
	address, known := h.registry.AddressOf(host)
	if !known {
		return succession.PeerReport{}, false
	}
	set := h.Set(service)
	if set == nil {
		return succession.PeerReport{}, false
	}
	h.traffic.add(trafficPeerReport)
	request := &gossip.PeerReportRequest{Service: service, Upstream: primary, Mark: lossMark(set)}
	answer, err := h.peers.Probe(ctx, address, gossip.Message{PeerReportRequest: request})
	if err != nil || answer.PeerReport == nil {
		// A host that does not answer has no vote; the promoter asks again.
		h.log.Debug().Err(err).Str("peer", host).Msg("peer report request failed")
		return succession.PeerReport{}, false
	}
	report := answer.PeerReport
	set.ObserveLogMark(report.Mark)
	return succession.PeerReport{Host: host, Dead: report.Dead, Reaches: report.Reaches, StoreReached: report.StoreReached, Lock: report.Lock, Leading: report.Leading, Settled: report.Settled, SettledTerm: report.SettledTerm}, true
}

// Announce implements promoter.Peers.
func (h *Host) Announce(service, primary string, term logpos.Term) {
	leadership := &gossip.Leadership{Service: service, Primary: primary, Term: term}
	if set := h.Set(service); set != nil {
		leadership.Mark = set.LogMark()
	}
	// A host that gets none learns of the promotion from the store or the next floor.
	h.sendToFleet(gossip.Message{Leadership: leadership}, trafficAnnouncement)
}

// sendToFleet sends a message to all other hosts without waiting for them. Lost datagrams are
// not sent again.
func (h *Host) sendToFleet(m gossip.Message, kind string) {
	for _, other := range h.registry.Fleet() {
		if other.Name == h.settings.Host {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(h.ctx, peerQueryTimeout)
			defer cancel()
			h.traffic.add(kind)
			if _, err := h.peers.Probe(ctx, other.Address, m); err != nil {
				h.log.Debug().Err(err).Str("peer", other.Name).Str("kind", kind).Msg("message was not confirmed")
			}
		}()
	}
}

// leadsPromotion reports whether this host leads a promotion of a service.
func (h *Host) leadsPromotion(service string) bool {
	g := h.group(service)
	return g != nil && g.promoter.Leading()
}
