package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/peerpoll"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/gossip"
	"github.com/dotterelswitch/dotterelswitch/node/peer"
	"github.com/dotterelswitch/dotterelswitch/node/registry"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

const (
	// datagramKey identifies datagrams of this system. It is not a secret: the
	// platform issues none to hosts and isolates their network.
	datagramKey = "dotterelswitch"
	// floorQueryFanOut is the number of hosts queried for a floor.
	floorQueryFanOut = 4
	// floorPeerDraws bounds the attempts to draw them in a small fleet, where most draws
	// repeat an earlier one.
	floorPeerDraws = 8 * floorQueryFanOut
	// peerQueryTimeout bounds the wait for an answer from another host.
	peerQueryTimeout = 300 * time.Millisecond
)

func (h *Host) listenPeers() error {
	conn, err := net.ListenPacket("udp", h.settings.PeerAddress)
	if err != nil {
		return err
	}
	h.peers = gossip.NewTransport(conn, datagramKey, h.handlePeerMessage)
	mux := http.NewServeMux()
	mux.Handle(peer.NewGateServer(h, h.settings.LinkMbps))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return h.serveWith(h.settings.PeerAddress, &http.Server{Handler: mux, Protocols: protocols})
}

// RunJob implements peer.GateHandler.
func (h *Host) RunJob(ctx context.Context, service string, j replicaset.Job) replicaset.Result {
	h.remoteJobCount.Add(1)
	defer h.remoteJobCount.Add(-1)
	if j.Kind == replicaset.JobBegin && h.endsTransactions() {
		return replicaset.Result{Err: errStopping}
	}
	s := h.AwaitSet(ctx, service, j.Request.StartDeadline)
	if s == nil {
		return replicaset.Result{Err: &replicaset.RefusedError{Reason: "the service is not known here"}}
	}
	res := s.Execute(ctx, j)
	res.Load = s.Load(j.Member)
	if h.settings.Features.Enabled(feature.RefusalFloors) {
		res.Floor, _ = s.Floor()
	}
	if res.Err == nil {
		return res
	}
	if suppressed, ok := h.logBudget.Allow(eventlog.GateJobFailed, clock.Now()); ok {
		eventlog.GateJobFailed.Info(h.log).Str("request", eventlog.Text(j.Request.Statement.ID)).Str("service", service).
			Str("upstream", j.Member).Str("owner", j.Owner).Bool("handed", res.StatementMayHaveRun).
			Dur("waited_ms", res.Waited).Err(res.Err).Int("left_out", suppressed).Send()
	}
	return res
}

// Listing implements peer.GateHandler.
func (h *Host) Listing(above store.Revision) store.Listing { return h.registry.Listing(above) }

// Snapshot implements peer.GateHandler.
func (h *Host) Snapshot() (store.Listing, error) { return h.registry.Snapshot() }

// Configuration implements peer.GateHandler.
func (h *Host) Configuration(above uint64) []byte { return h.registry.ConfigDocument(above) }

// StreamChanges implements peer.GateHandler.
func (h *Host) StreamChanges(ctx context.Context, after store.Revision, changesOnly bool, send func(registry.Update) error) error {
	return h.registry.StreamUpdates(ctx, after, changesOnly, send)
}

// Detached implements peer.GateHandler.
func (h *Host) Detached(owner string) {
	for _, s := range h.allSets() {
		s.RollbackOwned(owner)
	}
}

// handlePeerMessage processes a datagram from another host and returns the answer.
func (h *Host) handlePeerMessage(m gossip.Message) gossip.Message {
	now := clock.Now()
	var out gossip.Message
	if q := m.PeerReportRequest; q != nil {
		out.PeerReport = h.peerReport(*q)
	}
	if l := m.Leadership; l != nil {
		h.observeLeadership(l.Service, replicaset.Leadership{Primary: l.Primary, Term: l.Term}, l.Mark)
	}
	if m.QuotaRequest != nil {
		h.handleQuotaRequest(m, &out)
	}
	if m.AskStoreProgress {
		progress := h.registry.Progress()
		out.StoreProgress = &progress
	}
	if m.AskAcknowledged != "" {
		out.Acknowledged = h.answerAcknowledged(m.AskAcknowledged, m.HoldToken, now)
	}
	if s := m.Settled; s != nil {
		h.ObserveSettled(s.Service, s.Token, s.Term, now)
	}
	if m.Unsettled != "" {
		if g := h.use(m.Unsettled); g != nil {
			g.promoter.ObserveUnsettled()
		}
	}
	for _, service := range m.AskFloors {
		s := h.Set(service)
		if s == nil {
			continue
		}
		if f, found := s.Floor(); found || f.Mark.Member != "" {
			out.Floors = append(out.Floors, gossip.Floor{
				Service: service, Position: f.Position, Primary: f.Leadership.Primary, LeadTerm: f.Leadership.Term, Age: now - f.AsOf, Mark: f.Mark,
			})
		}
	}
	return out
}

// askStoreProgress asks another host what it knows of the store.
func (h *Host) askStoreProgress(ctx context.Context, address string) (*peerpoll.Progress, error) {
	h.traffic.add(trafficStoreProgress)
	answer, err := h.peers.Probe(ctx, address, gossip.Message{AskStoreProgress: true})
	return answer.StoreProgress, err
}

// queryPeersForFloor starts queries for the floor of a service to other hosts and
// returns immediately.
func (h *Host) queryPeersForFloor(service string) {
	if !h.settings.Features.Enabled(feature.PeerFloors) {
		return
	}
	for _, address := range h.floorPeers(service) {
		go h.queryPeerForFloor(address, service)
	}
}

// floorPeers returns the addresses of the hosts to query for a floor: the primary's
// gates first, then random others, which may have had a recent answer from the
// primary.
func (h *Host) floorPeers(service string) []string {
	var addresses []string
	if s := h.Set(service); s != nil {
		addresses = slices.Clone(s.PrimaryGates())
	}
	fleet := h.registry.Fleet()
	// The hosts are drawn with replacement, without a permutation of a large fleet for
	// each query.
	for range floorPeerDraws {
		if len(addresses) >= floorQueryFanOut || len(fleet) == 0 {
			break
		}
		if other := fleet[rand.IntN(len(fleet))]; other.Name != h.settings.Host && !slices.Contains(addresses, other.Address) {
			addresses = append(addresses, other.Address)
		}
	}
	return addresses[:min(len(addresses), floorQueryFanOut)]
}

func (h *Host) queryPeerForFloor(address, service string) {
	ctx, cancel := context.WithTimeout(h.ctx, peerQueryTimeout)
	defer cancel()
	sentAt := clock.Now()
	h.traffic.add(trafficFloor)
	answer, err := h.peers.Probe(ctx, address, gossip.Message{AskFloors: []string{service}})
	if err != nil {
		// Lost datagrams are not resent; the next query goes to other hosts.
		h.log.Debug().Err(err).Str("peer", address).Msg("floor request failed")
		return
	}
	for _, f := range answer.Floors {
		if s := h.Set(f.Service); s != nil {
			floor := replicaset.FloorFromAge(f.Position, replicaset.Leadership{Primary: f.Primary, Term: f.LeadTerm}, f.Age, sentAt)
			floor.Mark = f.Mark
			s.ObserveFloor(floor)
		}
	}
}
