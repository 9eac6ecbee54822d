// Package entry assembles an entry host in front of a platform that keeps the
// configuration, the members' entries and the order of promotions: the gateway
// for callers, one replica set a service, and one promoter for each.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/core/startup"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/edge"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/gossip"
	"github.com/dotterelswitch/dotterelswitch/node/inspect"
	"github.com/dotterelswitch/dotterelswitch/node/limits"
	"github.com/dotterelswitch/dotterelswitch/node/peer"
	"github.com/dotterelswitch/dotterelswitch/node/promoter"
	"github.com/dotterelswitch/dotterelswitch/node/registry"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// Adapter is the way to one platform.
type Adapter struct {
	Callers   edge.Protocol
	Members   replicaset.Protocol
	Store     registry.Store
	Documents registry.Documents
	Promotion promoter.Caller
	// ReadyPath is where the platform asks whether the host takes callers.
	ReadinessPath string
}

// Settings are what a host is told when it starts.
type Settings struct {
	Host             string
	Places           replicaset.Places
	CallerAddress    string
	ReadinessAddress string
	// MetricsAddress serves the metrics and shows the host to operators; empty
	// for neither.
	MetricsAddress string
	// PeerAddress is where other hosts send datagrams.
	PeerAddress string
	MaxSessions int
	Workers     int
	// Grace is the time from the signal to stop until the process is killed.
	GracePeriod time.Duration
	// DrainBound is the latest time after a member's notice at which it may be
	// sent new work.
	DrainBound time.Duration
	// ConfigBound is how soon a change of the configuration must be in force.
	ConfigBound time.Duration
	// Quota is how exactly the teams' limits are to be kept.
	QuotaTolerance quota.Tolerance
	// Without is what the host is run without.
	Disabled mechanism.Disabled
}

// Host is one running entry host.
type Host struct {
	settings Settings
	adapter  Adapter
	log      zerolog.Logger
	dial     replicaset.DialFunc
	registry *registry.Registry
	gateway  *edge.Gateway
	metrics  *hostMetrics
	budget   *eventlog.Budget
	reads    readCounts
	traffic  *trafficCounts
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	servers  []*http.Server
	peers    *gossip.Transport
	gates    *peer.GateClient
	limiter  *limits.Limiter
	// looks are shared by all groups of the host.
	livenessProbes singleflight.Group
	// startedAt is when the host started.
	startedAt time.Duration
	// owner names this host and its incarnation to gates.
	owner    string
	stopping atomic.Bool
	// jobs counts what other hosts have running here.
	remoteJobs    atomic.Int64
	reconcileWake chan struct{}
	failed        chan error
	// fleet is the hosts that the sets were last told of, and starting judges
	// whether they are known well enough; fleetKnown tells that they are. They
	// belong to reconcile.
	fleet          gates.Fleet
	fleetStability startup.FleetStability
	fleetWasStable bool

	// mu guards sets and promoters, both by service.
	mu        sync.RWMutex
	sets      map[string]*replicaset.Set
	promoters map[string]*promoter.Promoter
}

// Start runs a host. It returns once the listeners accept.
func Start(s Settings, a Adapter, dial replicaset.DialFunc, log zerolog.Logger) (*Host, error) {
	h := &Host{
		settings: s, adapter: a, dial: dial, log: log.With().Str("host", s.Host).Logger(),
		reconcileWake: make(chan struct{}, 1), failed: make(chan error, 1), sets: map[string]*replicaset.Set{}, promoters: map[string]*promoter.Promoter{},
		metrics: newHostMetrics(), budget: eventlog.NewBudget(), traffic: newTrafficCounts(), startedAt: clock.Now(), fleet: gates.NewFleet(nil, s.Places.Regions),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.owner = fmt.Sprintf("%s@%d", s.Host, clock.Now())
	h.gates = peer.NewGateClient(h.ctx, dial, h.owner)
	h.registry = registry.New(registry.Config{
		Store: registry.Counted(a.Store, h.recordStoreCall), Documents: a.Documents,
		Self:        gates.Host{Name: s.Host, Zone: s.Places.Zone, Address: s.PeerAddress},
		ConfigBound: s.ConfigBound, FollowHost: h.gates.Follow, AskConfig: h.gates.Configuration, Without: s.Disabled, Changed: h.wakeReconcile, Log: h.log,
	})
	h.limiter = limits.New(limits.Config{Self: quota.Host{Name: s.Host, Region: s.Places.Region(s.Places.Zone)}, Tolerance: s.QuotaTolerance, Ask: h.requestGrant, Limit: h.limitOf, Remembered: h.registry.Remembered})
	if err := h.listen(); err != nil {
		h.cancel()
		return nil, err
	}
	if err := h.listenPeers(); err != nil {
		h.cancel()
		return nil, err
	}
	if err := h.newGateway(); err != nil {
		h.cancel()
		return nil, err
	}
	h.wg.Go(func() { h.registry.Run(h.ctx) })
	h.wg.Go(func() { h.registry.KeepPresence(h.ctx) })
	h.wg.Go(func() { h.registry.FollowPeers(h.ctx, h.gates.Listing) })
	h.wg.Go(func() { h.reconcile(h.ctx) })
	h.wg.Go(func() { h.abortIdleTransactions(h.ctx) })
	h.wg.Go(func() { h.tickGroups(h.ctx) })
	h.wg.Go(func() { h.reportGauges(h.ctx) })
	h.wg.Go(func() { h.logReads(h.ctx) })
	h.wg.Go(func() { h.logTraffic(h.ctx) })
	h.wg.Go(func() { h.logStoreProgress(h.ctx) })
	return h, h.startGateway()
}

// poke has the sets brought in step with the registry.
func (h *Host) wakeReconcile() {
	select {
	case h.reconcileWake <- struct{}{}:
	default:
	}
}

func (h *Host) newGateway() error {
	g, err := edge.New(edge.Config{
		Address: h.settings.CallerAddress, MaxSessions: h.settings.MaxSessions, Workers: h.settings.Workers, Log: h.log, LogBudget: h.budget,
	}, h.adapter.Callers, h, h)
	if err != nil {
		return err
	}
	h.gateway = g
	return nil
}

func (h *Host) startGateway() error {
	go func() { h.failed <- h.gateway.Run() }()
	select {
	case <-h.gateway.Listening():
	case err := <-h.failed:
		return err
	}
	eventlog.Started.Info(h.log).Str("listen", h.settings.CallerAddress).Str("zone", h.settings.Places.Zone).Strs("without", h.settings.Disabled.Names()).Send()
	return nil
}

// headerTimeout bounds how long the platform may take for its headers.
const readHeaderTimeout = 5 * time.Second

func (h *Host) listen() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+h.adapter.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := h.serve(h.settings.ReadinessAddress, mux); err != nil {
		return err
	}
	if h.settings.MetricsAddress == "" {
		return nil
	}
	text := http.NewServeMux()
	text.Handle("GET /metrics", h.metrics.handler())
	text.Handle(inspect.Handler(h))
	return h.serve(h.settings.MetricsAddress, text)
}

func (h *Host) serve(address string, handler http.Handler) error {
	return h.serveWith(address, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout})
}

func (h *Host) serveWith(address string, s *http.Server) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	// Streams to other hosts end when this one does.
	s.BaseContext = func(net.Listener) context.Context { return h.ctx }
	h.servers = append(h.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.failed <- err
		}
	}()
	return nil
}

// Ready reports whether the host takes callers: it has a configuration, knows
// members, and is not about to stop.
func (h *Host) Ready() bool {
	return !h.stopping.Load() && h.registry.Catalog() != nil && h.hasMembers()
}

func (h *Host) hasMembers() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, s := range h.sets {
		if len(s.Members()) > 0 {
			return true
		}
	}
	return false
}

// Catalog implements edge.Backend.
func (h *Host) Catalog() *catalog.Catalog { return h.registry.Catalog() }

// Set returns the group of a service, or nil while none is known.
func (h *Host) Set(service string) *replicaset.Set {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.sets[service]
}

// reconcile keeps the sets in step with the registry.
func (h *Host) reconcile(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.reconcileWake:
			h.updateSets(ctx)
		}
	}
}

func (h *Host) updateSets(ctx context.Context) {
	c := h.registry.Catalog()
	if c == nil {
		return
	}
	hosts := h.registry.Fleet()
	if !h.fleetStable(hosts) {
		return
	}
	h.setFleet(h.fleet.Next(hosts))
	groups := h.registry.Groups()
	for name, spec := range c.Services {
		h.ensureSet(ctx, name).Update(groups[name], spec, h.fleet)
	}
}

// ensureSet returns the set of a service and starts it if it is new.
func (h *Host) ensureSet(ctx context.Context, service string) *replicaset.Set {
	if s := h.Set(service); s != nil {
		return s
	}
	var p *promoter.Promoter
	s := replicaset.New(replicaset.Config{
		Service: service, Dial: h.dial, Proto: h.adapter.Members, Places: h.settings.Places,
		DrainBound: h.settings.DrainBound, AskPeers: h.queryPeersForFloor, Suspected: func() { p.Wake() },
		Remote: h.remote(), Owner: h.owner, Host: h.settings.Host, Without: h.settings.Disabled, Log: h.log,
	})
	p = promoter.New(promoter.Config{
		Service: service, Host: h.settings.Host, Set: s, Registry: h.registry, Caller: h.adapter.Promotion, Peers: h,
		Without: h.settings.Disabled,
		Spec:    func() catalog.Service { return h.registry.Catalog().Services[service] },
		Observe: func(r promoter.Result) { h.metrics.promotion(service, r) }, Log: h.log,
	})
	h.wg.Go(func() { s.Probe(ctx) })
	h.wg.Go(func() { p.Run(ctx) })
	h.mu.Lock()
	h.sets[service], h.promoters[service] = s, p
	h.mu.Unlock()
	return s
}

// promoter returns the promoter of a service, or nil while there is none.
func (h *Host) promoter(service string) *promoter.Promoter {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.promoters[service]
}

// unusedSlack is how much longer than its caller may rest a transaction is
// kept for another host, which ends it itself if it lives.
const remoteTxSlack = 2 * time.Second

// idleCheck is how often transactions that rest for too long are looked for.
const idleCheckInterval = 500 * time.Millisecond

// endIdleTransactions ends the transactions that rest longer than the
// configuration allows.
func (h *Host) abortIdleTransactions(ctx context.Context) {
	clock.Every(ctx, idleCheckInterval, func() {
		c := h.registry.Catalog()
		if c == nil || c.TxIdleTimeout <= 0 {
			return
		}
		now := clock.Now()
		h.gateway.AbortIdleTransactions(now - c.TxIdleTimeout)
		for _, s := range h.allSets() {
			s.EndUnused(now - c.TxIdleTimeout - remoteTxSlack)
		}
	})
}

// Failed reports the error that ended a listener by itself.
func (h *Host) Failed() <-chan error { return h.failed }

// Followers returns how many hosts hear of the platform through this one.
func (h *Host) Followers() int { return h.registry.Followers() }

// Known returns how many hosts this one knows to be registered, itself
// included.
func (h *Host) KnownHosts() int { return len(h.registry.Hosts()) }
