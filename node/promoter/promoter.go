// Package promoter fails over primaries that a majority of voters consider dead,
// and hands over primaries that are being drained. Every host runs it. The holder
// of the service's lock in the platform's store leads the promotion; the lock's
// revision is the fencing token of its orders.
package promoter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// Platform is the platform's promotion API.
type Platform interface {
	Promote(ctx context.Context, service, member string, token uint64) error
}

// Registry gives access to the platform's store.
type Registry interface {
	Hosts() []string
	HostsReportingDead(service, member string) []string
	// Away reports whether the store cannot be reached from this host.
	Away() bool
	// Epoch returns the newest store epoch that this host has observed.
	Epoch() store.Epoch
	LockOf(service string) succession.Lock
	// TakeLock takes the service's lock if it is unchanged since known, and
	// returns its fencing token.
	TakeLock(ctx context.Context, service string, known succession.Lock) (token uint64, err error)
	Suspect(ctx context.Context, service, member string) error
	Trust(ctx context.Context, service, member string) error
}

// Peers carries direct messages to other hosts.
type Peers interface {
	// Opinion asks a host whether it considers a primary dead. It reports false
	// if the host does not answer in time.
	Opinion(ctx context.Context, service, primary, host string) (succession.PeerReport, bool)
	// AddressOf returns the address at which a host accepts forwarded statements.
	AddressOf(host string) (string, bool)
	// Announce sends the new primary to all hosts without waiting for them.
	Announce(service, primary string, term logpos.Term)
}

const (
	// CheckInterval is how often a healthy group is checked, and
	// suspectCheckInterval how often while its primary is suspected.
	CheckInterval        = 100 * time.Millisecond
	suspectCheckInterval = 50 * time.Millisecond
	// noPrimary takes the place of the primary's ID in a group without a primary.
	noPrimary = "none"
	// noPrimaryTimeout is how long a group must have no primary before that
	// counts as a loss. It exceeds the time until a promotion in progress becomes
	// visible.
	noPrimaryTimeout = 1500 * time.Millisecond
	// promotionTimeout bounds one promotion.
	promotionTimeout = 5 * time.Second
	// attemptBackoff is the minimum time between two promotion attempts of this
	// host.
	attemptBackoff = 500 * time.Millisecond
)

// Promoter runs failover and planned handover for one group.
type Promoter struct {
	service  string
	host     string
	set      *replicaset.Set
	registry Registry
	platform Platform
	peers    Peers
	spec     func() catalog.Service
	observe  func(Result)
	features feature.Set
	log      zerolog.Logger

	// wake triggers a check of the group, storeWake a synchronization with the
	// store.
	wake, storeWake chan struct{}
	// checkMu is held during a check of the group, storeMu while the store is
	// brought up to date. Neither is acquired while the other is held.
	checkMu, storeMu sync.Mutex
	// lastCheck is when the group was last checked, on the clock of node/clock.
	lastCheck atomic.Int64
	// leading is whether this host leads a promotion or is about to start one.
	leading atomic.Bool

	// checkMu guards the fields up to storeSync.

	// noPrimarySince is when the group was first seen without a primary; zero
	// while it has one.
	noPrimarySince time.Duration
	// readySince is when the condition for a promotion was first met.
	readySince time.Duration
	// probedAt is when a suspected primary was last probed.
	probedAt time.Duration
	// fencedToken is the newest token that the platform has refused; it is not
	// used again.
	fencedToken uint64

	// storeSync is guarded by storeMu.
	storeSync storeSync

	// mu guards the fields below. No other lock is acquired while it is held.
	mu sync.Mutex
	// lostPrimary is the primary that this host considers dead, and lostSince
	// since when; empty for none.
	lostPrimary string
	lostSince   time.Duration
	// askedUntil is until when a question from another host keeps the primary
	// under suspicion.
	askedUntil   time.Duration
	backoffUntil time.Duration
	// newestToken is the newest token that this host has acquired since it
	// started.
	newestToken uint64
	opinions    succession.PeerReports
	// askedAt is when each host was last asked for its opinion.
	askedAt map[string]time.Duration
	// leaderSeenAt is when the lock holder last reported that it leads a
	// promotion.
	leaderSeenAt time.Duration
}

// Config holds a Promoter's settings and dependencies.
type Config struct {
	Service, Host string
	Set           *replicaset.Set
	Registry      Registry
	Platform      Platform
	Peers         Peers
	// Spec returns the declared configuration of the service.
	Spec func() catalog.Service
	// Observe receives the result of each promotion that this host has led.
	Observe func(Result)
	// Features has the disabled features of the host.
	Features feature.Set
	Log      zerolog.Logger
}

// New returns a promoter; Run starts it.
func New(cfg Config) *Promoter {
	return &Promoter{
		service: cfg.Service, host: cfg.Host, set: cfg.Set, registry: cfg.Registry, platform: cfg.Platform, peers: cfg.Peers,
		spec: cfg.Spec, observe: cfg.Observe, features: cfg.Features, log: cfg.Log.With().Str("service", cfg.Service).Logger(),
		wake: make(chan struct{}, 1), storeWake: make(chan struct{}, 1), askedAt: map[string]time.Duration{},
	}
}

// Run checks the group whenever Tick or Wake requests it, until the context ends.
func (p *Promoter) Run(ctx context.Context) {
	go p.runStoreSync(ctx)
	for {
		select {
		case <-p.wake:
			p.checkUntilHealthy(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// checkUntilHealthy repeats the check until the group is healthy.
func (p *Promoter) checkUntilHealthy(ctx context.Context) {
	p.checkMu.Lock()
	defer p.checkMu.Unlock()
	for p.check(ctx) {
		timer := time.NewTimer(suspectCheckInterval)
		select {
		case <-timer.C:
		case <-p.wake:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// Tick assesses the group and triggers a full check if it is not healthy. It does
// not block. One timer calls it for all groups of a host, because nearly all
// groups are healthy at any time.
func (p *Promoter) Tick(now time.Duration) {
	if p.checkMu.TryLock() {
		healthy := p.assess(now).healthy()
		p.checkMu.Unlock()
		if !healthy {
			p.Wake()
		}
	}
	if p.storeMu.TryLock() {
		due := p.storeSyncDue(now)
		p.storeMu.Unlock()
		if due {
			signal(p.storeWake)
		}
	}
}

// signal makes a channel of capacity one ready without blocking.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Leading reports whether this host leads a promotion or is about to start one.
func (p *Promoter) Leading() bool { return p.leading.Load() }

// Wake triggers an immediate check of the group.
func (p *Promoter) Wake() { signal(p.wake) }

// assessment is this host's view of the primary's health.
type assessment struct {
	// failed is the primary that this host considers dead; empty for none.
	failed string
	// draining is whether the primary is being drained, suspected whether it may
	// be dead, and asked whether another host has asked about it.
	draining, suspected, asked bool
}

func (a assessment) healthy() bool { return !a.draining && !a.suspected && !a.asked }

// assess evaluates the state of the group. It is called with checkMu held.
func (p *Promoter) assess(now time.Duration) assessment {
	if p.wasSuspended(now) {
		p.set.Resumed(now)
	}
	p.lastCheck.Store(int64(now))
	p.corroborate(now)
	a := assessment{failed: p.failedPrimary(now), asked: p.wasAsked(now)}
	p.recordLoss(a.failed, now)
	a.draining = a.failed == "" && p.handoverDue()
	a.suspected = a.failed != "" || p.primarySuspected(now)
	return a
}

// check gathers evidence about a suspected primary and starts a promotion if this
// host is to lead it. It reports whether the group must be checked again soon.
func (p *Promoter) check(ctx context.Context) bool {
	now := clock.Now()
	a := p.assess(now)
	defer func() { p.lastCheck.Store(int64(clock.Now())) }()
	if a.healthy() {
		p.leading.Store(false)
		p.readySince = 0
		return false
	}
	p.probeSuspect(ctx, now)
	p.requestOpinions(ctx, now, a.suspected, a.failed != "")
	p.detour(a.failed, now)
	switch {
	case a.failed != "" && p.lossAgreed(a.failed, now):
		p.tryPromotion(ctx, now, a.failed, func(ctx context.Context, token uint64) error { return p.replace(ctx, a.failed, token) })
	case a.draining:
		p.tryPromotion(ctx, now, "", p.handOver)
	default:
		p.leading.Store(false)
		p.readySince = 0
	}
	return true
}
