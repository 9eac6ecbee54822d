// Package host assembles an entry host for PostgreSQL callers with a key-value
// platform: the gateway for callers, the router, the pools of the members it owns,
// gossip, and the synchronization of the configuration. Package entry is the
// counterpart for the users' platform.
package host

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/confstore"
	"github.com/dotterelswitch/dotterelswitch/node/consul"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/gateway"
	"github.com/dotterelswitch/dotterelswitch/node/gossip"
	"github.com/dotterelswitch/dotterelswitch/node/metrics"
	"github.com/dotterelswitch/dotterelswitch/node/netcount"
	"github.com/dotterelswitch/dotterelswitch/node/owner"
	"github.com/dotterelswitch/dotterelswitch/node/peer"
	"github.com/dotterelswitch/dotterelswitch/node/request"
	"github.com/dotterelswitch/dotterelswitch/node/router"
	"github.com/dotterelswitch/dotterelswitch/node/settings"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// Options configures a host.
type Options struct {
	Settings settings.Settings
	// Dial opens connections to upstreams, peers and the platform. Nil selects
	// net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// ListenPacket opens the UDP socket for gossip. Nil selects
	// net.ListenPacket.
	ListenPacket func(address string) (net.PacketConn, error)
	Log          zerolog.Logger
}

// trafficCounters counts the bytes of a host's connections by destination.
type trafficCounters struct {
	peers, platform, control netcount.Counter
}

// Host is a running entry host.
type Host struct {
	opts     Options
	log      zerolog.Logger
	self     membership.Host
	timing   membership.Timing
	fleet    *fleet
	owner    *owner.Owner
	router   *router.Router
	gateway  *gateway.Gateway
	peers    *peer.Client
	gossip   *gossip.Transport
	platform *consul.Client
	config   *confstore.Store
	metrics  *metrics.Metrics
	servers  []*http.Server

	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	platformDown atomic.Bool
	gatewayDone  chan error
	// cancelledPeers holds the sender names of the dead hosts whose pending calls
	// were cancelled. Only the reconcile goroutine uses it.
	cancelledPeers map[string]bool
	// preparedEvents holds the events whose connections were opened. Only the
	// reconcile goroutine uses it.
	preparedEvents map[eventKey]bool
	traffic        trafficCounters
}

// Start starts a host. It returns once the listeners accept connections; use
// Ready to learn whether a configuration is active.
func Start(opts Options) (*Host, error) {
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{}).DialContext
	}
	if opts.ListenPacket == nil {
		opts.ListenPacket = func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) }
	}
	s := opts.Settings
	self := membership.Host{ID: s.ID, Zone: s.Zone, Peer: s.Peer, Incarnation: uint64(time.Now().UnixMicro())}
	h := &Host{
		opts: opts, self: self, timing: membership.DefaultTiming(), gatewayDone: make(chan error, 1), preparedEvents: make(map[eventKey]bool),
		log: opts.Log.With().Str("host", s.ID).Str("zone", s.Zone).Logger(),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.fleet = newFleet(self, h.timing, h.log)
	h.peers = peer.NewClient(h.traffic.peers.WrapDialer(opts.Dial), s.PeerKey)
	h.platform = consul.NewClient(s.Platform, h.traffic.platform.WrapDialer(opts.Dial))
	h.config = confstore.New(h.platform)
	h.metrics = metrics.New(metrics.Limits{Teams: s.MaxTeamsShown, Databases: s.MaxTeamsShown, Services: s.MaxTeamsShown})
	h.owner = owner.New(owner.Config{
		Host: self, User: s.UpstreamUser, Password: s.UpstreamPassword, Dial: opts.Dial,
		ControlDial: upstream.DialFunc(h.traffic.control.WrapDialer(opts.Dial)), HeartbeatBudget: group.DefaultHeartbeatBudget(),
		AnswerLimit: s.MaxAnswer, Timing: group.DefaultTiming(), DrainTimeout: s.DrainTimeout, Log: h.log,
		AnswerRejected: newRejectionReport(h.log, h.metrics).record,
	})
	h.router = router.New(self, owner.SenderName(self), h.fleet, h.owner, h.peers, h.log)
	if err := h.listen(); err != nil {
		h.cancel()
		return nil, err
	}
	if err := h.newGateway(); err != nil {
		h.cancel()
		return nil, err
	}
	h.run()
	return h, h.startGateway()
}

// listen opens the gossip socket and the HTTP listeners for peers and metrics.
func (h *Host) listen() error {
	packetConn, err := h.opts.ListenPacket(h.opts.Settings.Peer)
	if err != nil {
		return err
	}
	h.gossip = gossip.NewTransport(packetConn, h.opts.Settings.PeerKey, h.answerProbe)
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.NewServer(h, h.opts.Settings.PeerKey))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	if err := h.serve(h.opts.Settings.Peer, &http.Server{Handler: peerMux, Protocols: protocols}); err != nil {
		return err
	}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", h.metrics.Handler())
	if h.opts.Settings.Profile {
		metricsMux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		metricsMux.HandleFunc("GET /debug/pprof/", pprof.Index)
	}
	return h.serve(h.opts.Settings.Metrics, &http.Server{Handler: metricsMux})
}

// headerTimeout bounds the time in which an HTTP client must send its headers.
const headerTimeout = 5 * time.Second

func (h *Host) serve(address string, s *http.Server) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.ReadHeaderTimeout = headerTimeout
	h.servers = append(h.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// run starts the background goroutines.
func (h *Host) run() {
	h.wg.Go(func() { h.probeHosts(h.ctx) })
	h.wg.Go(func() { h.watchConfig(h.ctx) })
	h.wg.Go(func() { h.syncHostList(h.ctx) })
	h.wg.Go(func() { h.reconcile(h.ctx) })
	h.wg.Go(func() { h.register(h.ctx) })
}

// register adds the host to the platform's host list and retries until it
// succeeds.
func (h *Host) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := h.platform.Register(ctx, h.self)
		if err == nil {
			return
		}
		clock.Sleep(ctx, retryInterval)
	}
}

// reconcileInterval is the maximum interval between reconciliations.
const reconcileInterval = time.Second

// reconcile adjusts the pools to the hosts and the configuration.
func (h *Host) reconcile(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		cfg, placement, dead := h.fleet.snapshot()
		h.cancelCallsToDead(dead)
		h.owner.Reconcile(cfg, placement, dead)
		select {
		case <-h.fleet.changed:
		case <-ticker.C:
			h.reportGauges()
			h.prepareEvents(ctx, h.fleet.Config(), time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// cancelCallsToDead cancels the pending calls to hosts that were newly declared dead.
func (h *Host) cancelCallsToDead(dead []membership.Host) {
	deadNames := make(map[string]bool, len(dead))
	for _, deadHost := range dead {
		deadNames[owner.SenderName(deadHost)] = true
		if !h.cancelledPeers[owner.SenderName(deadHost)] {
			eventlog.HostStateChanged.Warn(h.log).Str("peer", deadHost.ID).Stringer("state", deadHost.State).Send()
			h.peers.CancelCalls(deadHost.Peer)
		}
	}
	h.cancelledPeers = deadNames
}

func (h *Host) reportGauges() {
	h.metrics.Gauge("connections", float64(h.gateway.Connections()))
	h.metrics.Gauge("hosts", float64(len(h.fleet.Placement().Hosts())))
	h.metrics.Gauge("pools", float64(len(h.owner.Owned())))
	h.metrics.Gauge("gossip_bytes", float64(h.gossip.Bytes()))
	h.metrics.Gauge("peer_bytes", float64(h.traffic.peers.Total()))
	h.metrics.Gauge("platform_bytes", float64(h.traffic.platform.Total()))
	h.metrics.Gauge("control_bytes", float64(h.traffic.control.Total()))
	h.metrics.Gauge("config_version", float64(h.fleet.Config().Version))
}

func (h *Host) newGateway() error {
	s := h.opts.Settings
	g, err := gateway.New(gateway.Config{
		Address: s.Listen, MaxMessage: s.MaxMessage, MaxConnections: s.MaxConnections,
		MaxTeamConnections: s.MaxTeamConnections, StartupTimeout: s.StartupTimeout,
		StatementTimeout: s.StatementTimeout, Workers: s.Workers, Log: h.log,
	}, h.router, h.fleet.Config, h.metrics)
	if err != nil {
		return err
	}
	h.gateway = g
	return nil
}

func (h *Host) startGateway() error {
	s := h.opts.Settings
	go func() { h.gatewayDone <- h.gateway.Run() }()
	select {
	case <-h.gateway.Listening():
	case err := <-h.gatewayDone:
		return err
	}
	eventlog.Started.Info(h.log).Str("listen", s.Listen).Str("peer", s.Peer).Send()
	return nil
}

// GatewayDone receives the result of the gateway when it stops.
func (h *Host) GatewayDone() <-chan error { return h.gatewayDone }

// Execute implements peer.Handler.
func (h *Host) Execute(ctx context.Context, req *request.Request) *request.Response {
	return h.owner.Execute(ctx, req)
}

// Release implements peer.Handler.
func (h *Host) Release(sender, _ string, transaction uint64) { h.owner.Release(sender, transaction) }

// Cancel implements peer.Handler.
func (h *Host) Cancel(sender string, id uint64) { h.owner.Cancel(sender, id) }

// Ready reports whether a configuration is active.
func (h *Host) Ready() bool { return h.fleet.Config().Version > 0 }

// KnownHosts returns the number of serving hosts known to this one, itself
// included and drained hosts excluded.
func (h *Host) KnownHosts() int { return len(h.fleet.Placement().Hosts()) }

// ConfigVersion returns the version of the active configuration on this host.
func (h *Host) ConfigVersion() uint64 { return h.fleet.Config().Version }

// Owned returns the members whose pools this host serves.
func (h *Host) Owned() []string { return h.owner.Owned() }

// Promotions returns how many promotions this host has completed.
func (h *Host) Promotions() int { return h.owner.Promotions() }
