// Package entry assembles an entry host of the users' platform: the gateway for
// callers, and a replica set and a promoter for each service. The platform stores
// the configuration and the members' entries and carries out promotions. Package
// host is the counterpart for PostgreSQL callers with a key-value platform.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/duty"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/core/shutdown"
	"github.com/dotterelswitch/dotterelswitch/core/startup"
	"github.com/dotterelswitch/dotterelswitch/core/store"
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

// Adapter holds the protocols and clients of one platform.
type Adapter struct {
	Callers   edge.Protocol
	Members   replicaset.Protocol
	Store     registry.Store
	Documents registry.Documents
	Promotion promoter.Platform
	// ReportMismatches sets the function that Store calls with each answer that cannot be
	// that of its call; nil if Store tells none.
	ReportMismatches func(report func(call string, m store.Mismatch))
	// ReadinessPath is the path of the readiness check.
	ReadinessPath string
}

// Settings are the start parameters of a host.
type Settings struct {
	Host             string
	Topology         replicaset.Topology
	CallerAddress    string
	ReadinessAddress string
	// MetricsAddress serves metrics and the inspection API; empty for neither.
	MetricsAddress string
	// PeerAddress is the address, UDP and TCP, for other hosts.
	PeerAddress string
	MaxSessions int
	Workers     int
	// MilliCores is the processor time that the host may use, in thousandths of a core,
	// and LinkMbps the rate of its network link in Mbit/s; zero if unknown. Hosts with
	// more of them take on more work for the others.
	MilliCores, LinkMbps int
	// GracePeriod is the time from the stop signal until the process is killed.
	GracePeriod time.Duration
	// DrainTimeout is how long a leaving member may be sent new work after it has
	// announced its shutdown.
	DrainTimeout time.Duration
	// MaxConfigApplyTime is the time within which a configuration change must be
	// active.
	MaxConfigApplyTime time.Duration
	// QuotaTolerance is by how much teams may exceed their limits.
	QuotaTolerance quota.Tolerance
	// Features tells which features are disabled.
	Features feature.Set
}

// Host is one running entry host.
type Host struct {
	settings  Settings
	adapter   Adapter
	log       zerolog.Logger
	dial      replicaset.DialFunc
	registry  *registry.Registry
	gateway   *edge.Gateway
	metrics   *hostMetrics
	logBudget *eventlog.RateLimiter
	reads     readCounts
	traffic   *trafficCounts
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	servers   []*http.Server
	peers     *gossip.Transport
	gates     *peer.GateClient
	limiter   *limits.Limiter
	// livenessProbes deduplicates concurrent liveness checks of one address.
	livenessProbes singleflight.Group
	startedAt      time.Duration
	acknowledged   *acknowledgedCommits
	// owner identifies this host and its incarnation to gates.
	owner string
	// stopPlan is the plan of the host's stop; nil while it is not told to stop.
	stopPlan atomic.Pointer[shutdown.Plan]
	// remoteJobCount counts the running jobs of other hosts.
	remoteJobCount atomic.Int64
	reconcileWake  chan struct{}
	failed         chan error
	// fleetKnown is set once this host has had a stable view of the fleet.
	fleetKnown atomic.Bool

	// reconcileMu guards the fields below. It is acquired before mu.
	reconcileMu sync.Mutex
	// fleet is the list of hosts last passed to the sets, at fleetUpdatedAt.
	// fleetStability decides whether a starting host has a stable view of the fleet.
	fleet          gates.Fleet
	fleetUpdatedAt time.Duration
	fleetStability startup.FleetStability
	duties         *duty.Duties
	// pendingChanges are changes of the registry that are not applied yet.
	pendingChanges registry.Changes

	// mu guards groups, and the leaderships of groups that are not active, by service.
	mu          sync.RWMutex
	groups      map[string]*activeGroup
	leaderships map[string]rememberedLeadership
}

// Start starts a host. It returns once the listeners accept connections.
func Start(s Settings, a Adapter, dial replicaset.DialFunc, log zerolog.Logger) (*Host, error) {
	h := &Host{
		settings: s, adapter: a, dial: dial, log: log.With().Str("host", s.Host).Logger(),
		reconcileWake: make(chan struct{}, 1), failed: make(chan error, 1), groups: map[string]*activeGroup{}, leaderships: map[string]rememberedLeadership{}, duties: duty.New(s.Host),
		metrics: newHostMetrics(), logBudget: eventlog.NewRateLimiter(), traffic: newTrafficCounts(), acknowledged: newAcknowledgedCommits(), startedAt: clock.Now(), fleet: gates.NewFleet(nil, s.Topology.Regions),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	// The clock starts anew with the machine, so that it does not tell its runs apart.
	h.owner = s.Host + "@" + uuid.NewString()
	h.gates = peer.NewGateClient(h.ctx, dial, h.owner)
	if a.ReportMismatches != nil {
		a.ReportMismatches(h.recordMismatch)
	}
	h.registry = registry.New(registry.Config{
		Store: registry.NewInstrumentedStore(a.Store, h.recordStoreCall), Documents: a.Documents,
		Self:               gates.Host{Name: s.Host, Zone: s.Topology.Zone, Address: s.PeerAddress, MilliCores: s.MilliCores, LinkMbps: s.LinkMbps},
		MaxConfigApplyTime: s.MaxConfigApplyTime, FollowHost: h.gates.Follow, ValidAddress: peer.ValidAddress, FetchConfig: h.gates.Configuration, FetchSnapshot: h.gates.Snapshot, Features: s.Features, Changed: h.wakeReconcile, Log: h.log,
	})
	h.limiter = limits.New(limits.Config{
		Self:      quota.Host{Name: s.Host, Zone: s.Topology.Zone, Region: s.Topology.Region(s.Topology.Zone), Address: s.PeerAddress},
		Tolerance: s.QuotaTolerance, RequestGrant: h.requestGrant, Announce: h.announceCounter, Limit: h.limitOf, RegisteredAtStart: h.registry.RegisteredAtStart,
		Lease: h.registry.LeaseState, Log: h.log,
	})
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
	h.wg.Go(func() { h.registry.KeepRegistered(h.ctx) })
	h.wg.Go(func() { h.registry.PollPeers(h.ctx, h.askStoreProgress, h.gates.Listing) })
	h.wg.Go(func() { h.reconcile(h.ctx) })
	h.wg.Go(func() { h.abortIdleTransactions(h.ctx) })
	h.wg.Go(func() { h.tickGroups(h.ctx) })
	h.wg.Go(func() { clock.Every(h.ctx, groupCheckInterval, func() { h.dropUnusedGroups(clock.Now()) }) })
	h.wg.Go(func() { h.reportGauges(h.ctx) })
	h.wg.Go(func() { h.logReads(h.ctx) })
	h.wg.Go(func() { h.logTraffic(h.ctx) })
	h.wg.Go(func() { h.logStoreProgress(h.ctx) })
	return h, h.startGateway()
}

// wakeReconcile triggers an update of the sets from the registry.
func (h *Host) wakeReconcile() {
	select {
	case h.reconcileWake <- struct{}{}:
	default:
	}
}

func (h *Host) newGateway() error {
	g, err := edge.New(edge.Config{
		Address: h.settings.CallerAddress, MaxSessions: h.settings.MaxSessions, Workers: h.settings.Workers, Log: h.log, LogBudget: h.logBudget,
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
	eventlog.Started.Info(h.log).Str("listen", h.settings.CallerAddress).Str("zone", h.settings.Topology.Zone).Strs("without", h.settings.Features.Disabled()).Send()
	return nil
}

// readHeaderTimeout bounds the time to read the headers of a request.
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
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", h.metrics.handler())
	metricsMux.Handle(inspect.Handler(h))
	return h.serve(h.settings.MetricsAddress, metricsMux)
}

func (h *Host) serve(address string, handler http.Handler) error {
	return h.serveWith(address, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout})
}

func (h *Host) serveWith(address string, s *http.Server) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	// Cancelling h.ctx ends streams to other hosts.
	s.BaseContext = func(net.Listener) context.Context { return h.ctx }
	h.servers = append(h.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.failed <- err
		}
	}()
	return nil
}

// Ready reports whether the host accepts callers: it has a configuration, knows the
// other hosts and at least one member, and is not stopping.
func (h *Host) Ready() bool {
	return h.stopPlan.Load() == nil && h.fleetKnown.Load() && h.registry.Catalog() != nil && h.registry.HasMembers()
}

// Catalog implements edge.Backend.
func (h *Host) Catalog() *catalog.Catalog { return h.registry.Catalog() }

// remoteTxSlack is added to the idle timeout for transactions of other hosts, which
// normally end them themselves.
const remoteTxSlack = 2 * time.Second

// idleCheckInterval is how often the host checks for transactions that exceed the
// idle timeout.
const idleCheckInterval = 500 * time.Millisecond

// abortIdleTransactions rolls back transactions that exceed the configured idle
// timeout, until ctx is done.
func (h *Host) abortIdleTransactions(ctx context.Context) {
	clock.Every(ctx, idleCheckInterval, func() {
		c := h.registry.Catalog()
		if c == nil || c.TxIdleTimeout <= 0 {
			return
		}
		now := clock.Now()
		h.gateway.AbortIdleTransactions(now - c.TxIdleTimeout)
		for _, s := range h.allSets() {
			s.RollbackUnused(now - c.TxIdleTimeout - remoteTxSlack)
		}
	})
}

// Failed returns a channel that receives the error of a failed listener.
func (h *Host) Failed() <-chan error { return h.failed }

// Followers returns the number of hosts that use this one as their relay.
func (h *Host) Followers() int { return h.registry.Followers() }

// KnownHosts returns the number of registered hosts known to this one, including
// itself.
func (h *Host) KnownHosts() int { return len(h.registry.Hosts()) }
