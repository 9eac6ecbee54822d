// Package promoter fails over primaries that a majority of voters consider dead,
// and performs planned switchovers of primaries that drain or fail what they run.
// It serves the hosts of the users' platform (package entry); hosts that speak
// PostgreSQL to their callers (package host) use groupmonitor instead.
//
// Every host runs a promoter for each group. The holder of the service's lock in
// the platform's store leads the promotion; the lock's revision is the fencing
// token of its calls.
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

// Registry is the part of the platform's store that promotions use.
type Registry interface {
	Hosts() []string
	HostsReportingDead(service, member string) []string
	// StoreUnreachable reports whether the store cannot be reached from this host.
	StoreUnreachable() bool
	// Epoch returns the newest store epoch that this host has observed.
	Epoch() store.Epoch
	LockOf(service string) succession.Lock
	// TakeLock takes the service's lock if it is unchanged since known, and
	// returns its fencing token.
	TakeLock(ctx context.Context, service string, known succession.Lock) (token uint64, err error)
	Suspect(ctx context.Context, service, member string) error
	Trust(ctx context.Context, service, member string) error
	// SyncGroup returns the record of the members of a service with synchronous replicas.
	SyncGroup(service string) succession.SyncGroup
	// RecordSyncGroup replaces the record if it is unchanged since known.
	RecordSyncGroup(ctx context.Context, service string, members []string, known succession.SyncGroup) error
}

// Peers carries direct messages to other hosts.
type Peers interface {
	// RequestPeerReport asks a host whether it considers a primary dead. It
	// returns false if the host does not answer in time.
	RequestPeerReport(ctx context.Context, service, primary, host string) (succession.PeerReport, bool)
	// AddressOf returns the address at which a host accepts forwarded statements.
	AddressOf(host string) (string, bool)
	// Announce sends the new primary to all hosts without waiting for them.
	Announce(service, primary string, term logpos.Term)
	// SurveyAcks asks all hosts, this one included, for the newest commit that they have
	// acknowledged, and holds further ones for the promotion with a token.
	SurveyAcks(ctx context.Context, service string, token uint64) succession.AckSurvey
	// CommitHold returns the token of the promotion for which this host acknowledges no
	// commits, and since when; zero if it does.
	CommitHold(service string) (token uint64, since time.Duration)
	// ObserveSettled records that at a time, in a term, all promotions with tokens up to the
	// given one had ended, so that this host need not hold commits for them.
	ObserveSettled(service string, token uint64, term logpos.Term, asOf time.Duration)
	// ReportUnsettled tells the lock's holder that a promotion may have left replicas paused.
	// It returns false if the holder does not answer.
	ReportUnsettled(ctx context.Context, service, holder string) bool
	// AnnounceSettled tells all hosts, this one included, without waiting for them.
	AnnounceSettled(service string, token uint64, term logpos.Term)
}

const (
	// CheckInterval is how often a healthy group is checked.
	CheckInterval = 100 * time.Millisecond
	// suspectCheckInterval is how often a group is checked while its primary is
	// suspected.
	suspectCheckInterval = 50 * time.Millisecond
	// noPrimary takes the place of the primary's ID in a group without a primary.
	noPrimary = "none"
	// noPrimaryTimeout is how long a group must have no primary before it needs
	// a failover. It exceeds the time until a promotion in progress becomes
	// visible.
	noPrimaryTimeout = 1500 * time.Millisecond
	// promotionTimeout bounds one promotion.
	promotionTimeout = 5 * time.Second
	// attemptBackoff is the minimum time between two promotion attempts of this
	// host.
	attemptBackoff = 500 * time.Millisecond
)

// Promoter runs failover and planned switchover for one group.
type Promoter struct {
	service  string
	host     string
	set      *replicaset.Set
	registry Registry
	platform Platform
	peers    Peers
	spec     func() catalog.Service
	onResult func(Result)
	features feature.Set
	log      zerolog.Logger

	// wake triggers a check of the group; storeWake triggers a synchronization
	// with the store.
	wake, storeWake chan struct{}
	// checkMu is held during a check of the group, storeMu during a
	// synchronization with the store. Neither is acquired while the other is held.
	checkMu, storeMu sync.Mutex
	// lastCheck is when the group was last checked, on the clock of node/clock.
	lastCheck atomic.Int64
	// leading is set while this host leads a promotion or is about to start one.
	leading atomic.Bool

	// noPrimarySince is when the group was first seen without a primary; zero
	// while it has one. It is guarded by checkMu, like the fields up to
	// recheckAt.
	noPrimarySince time.Duration
	// readySince is since when a promotion is due (a majority considers the
	// primary dead, or the primary drains or fails what it runs); zero if none is. The
	// takeover delay starts then.
	readySince time.Duration
	// probedAt is when a suspected primary was last probed.
	probedAt time.Duration
	// fencedToken is the newest token that the platform has refused; it is not
	// used again.
	fencedToken uint64
	// failing decides when a primary that fails what it runs is replaced. It is guarded by
	// checkMu.
	failing succession.FailingPrimary

	// surveyedAt is when the latest round of a survey, or question to a primary that is to
	// step down, began.
	surveyedAt time.Duration
	// unchecked holds the members that a promotion of another host, or an earlier one of
	// this host, may have left paused; recheckAt is when they are next asked.
	unchecked map[string]bool
	recheckAt time.Duration

	// storeSync is guarded by storeMu.
	storeSync storeSync

	// mu guards the fields below. No other lock is acquired while it is held.
	mu sync.Mutex
	// deadIncarnation is the incarnation of the primary that this host considers
	// dead; empty for none.
	deadIncarnation string
	deadSince       time.Duration
	// suspectedByPeerUntil is until when the primary is checked because another
	// host has asked about it.
	suspectedByPeerUntil time.Duration
	backoffUntil         time.Duration
	// newestToken is the newest token that this host has acquired since it
	// started.
	newestToken uint64
	// tokens are the fencing tokens that this host owns as the lock's holder.
	tokens succession.Tokens
	// unansweredToken is the newest token of a promotion call without an answer, which may
	// still be executed; zero if there is none.
	unansweredToken uint64
	// unfenced is set while the platform may not have seen a token of this host's lock.
	unfenced bool
	// doubt is set while the lock's holder does not know that a promotion may have left
	// replicas paused. doubtAt is when that was last suspected, reportedAt when the holder
	// was last told.
	doubt               bool
	doubtAt, reportedAt time.Duration
	// unsettledSince is since when a promotion that this host does not lead may take
	// effect, or may have left members paused; zero if none may.
	unsettledSince time.Duration
	peerReports    succession.PeerReports
	// requestedAt is when each host was last asked for its report.
	requestedAt map[string]time.Duration
	// leaderSeenAt is when the lock holder last reported that it leads a
	// promotion.
	leaderSeenAt time.Duration
	// orderedAt is when this host last ordered a promotion; zero if it has not.
	orderedAt time.Duration
	// seenLock is the newest revision of the lock that this host has seen; zero before.
	seenLock store.Revision
	// withheld is the reason why this host's latest promotion was withheld; empty if it was
	// not.
	withheld string
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
	// OnResult is called with the result of each promotion that this host has led.
	OnResult func(Result)
	// Features tells which features are disabled.
	Features feature.Set
	Log      zerolog.Logger
}

// New returns a promoter; Run starts it.
func New(cfg Config) *Promoter {
	return &Promoter{
		service: cfg.Service, host: cfg.Host, set: cfg.Set, registry: cfg.Registry, platform: cfg.Platform, peers: cfg.Peers,
		spec: cfg.Spec, onResult: cfg.OnResult, features: cfg.Features, log: cfg.Log.With().Str("service", cfg.Service).Logger(),
		wake: make(chan struct{}, 1), storeWake: make(chan struct{}, 1), requestedAt: map[string]time.Duration{},
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
// groups are healthy at any time; with two timers each, 20 groups woke a host 400
// times a second.
func (p *Promoter) Tick(now time.Duration) {
	// If a lock is held, a check or a synchronization is running already.
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
	// deadPrimary is the ID of the primary that this host considers dead; empty
	// for none.
	deadPrimary string
	// draining is set if a switchover of the primary is due, suspected if the
	// primary may be dead, and suspectedByPeer if another host has asked about it.
	draining, suspected, suspectedByPeer bool
	// failing is set if the primary is to be replaced because it fails what it runs.
	failing bool
	// unsettled is set if an earlier promotion may still take effect, and recheck if members
	// are to be asked whether it has left them paused. Neither is set without a primary.
	unsettled, recheck bool
	// doubtful is set if the lock's holder is to be told that a promotion may have left
	// replicas paused.
	doubtful bool
}

func (a assessment) healthy() bool {
	return a.primaryHealthy() && !a.unsettled && !a.recheck && !a.doubtful
}

// primaryHealthy reports whether the primary is not to be replaced. What an earlier promotion
// has left behind is ended by the lock's holder without other hosts.
func (a assessment) primaryHealthy() bool {
	return !a.draining && !a.suspected && !a.suspectedByPeer && !a.failing
}

// assess evaluates the state of the group. It is called with checkMu held.
func (p *Promoter) assess(now time.Duration) assessment {
	if p.wasSuspended(now) {
		p.set.Resumed(now)
	}
	p.lastCheck.Store(int64(now))
	p.observeLock(now)
	p.updatePeerConfirmation(now)
	a := assessment{deadPrimary: p.findDeadPrimary(now), suspectedByPeer: p.suspectedByPeer(now)}
	p.recordDeadPrimary(a.deadPrimary, now)
	a.draining = a.deadPrimary == "" && p.switchoverDue()
	a.suspected = a.deadPrimary != "" || p.primarySuspected(now)
	failing := p.failingPrimaryDue(now)
	a.failing = a.deadPrimary == "" && !a.draining && failing
	if !a.suspected {
		a.unsettled = p.unsettled()
		a.recheck = !a.unsettled && p.recheckDue(now)
		a.doubtful = p.doubtful()
	}
	return a
}

// check gathers evidence about a suspected primary and starts a promotion if this
// host is to lead it. It reports whether the group must be checked again soon.
func (p *Promoter) check(ctx context.Context) bool {
	now := clock.Now()
	a := p.assess(now)
	// Recorded again at the end, so that a long check is not taken for a
	// suspension of the process.
	defer func() { p.lastCheck.Store(int64(clock.Now())) }()
	if a.healthy() {
		p.leading.Store(false)
		p.readySince = 0
		p.recordWithheld(nil)
		return false
	}
	alertHolder := a.suspected || a.failing || a.unsettled || a.draining && p.holderQueryDue(now)
	if !a.primaryHealthy() || p.registry.LockOf(p.service).Holder != p.host {
		p.probeSuspect(ctx, now)
		p.requestPeerReports(ctx, now, alertHolder, a.deadPrimary != "")
	}
	p.routeAround(a.deadPrimary, now)
	if a.doubtful {
		p.reportDoubt(ctx, now)
	}
	switch {
	case a.deadPrimary != "" && p.majorityConsidersDead(a.deadPrimary, now):
		p.tryToLead(ctx, now, duty{deadPrimary: a.deadPrimary, run: func(ctx context.Context, token uint64) error { return p.replace(ctx, a.deadPrimary, token) }})
	case a.draining:
		p.tryToLead(ctx, now, duty{run: p.switchOver})
	case a.failing:
		p.tryToLead(ctx, now, duty{run: p.replaceFailing})
	case a.unsettled:
		p.tryToLead(ctx, now, duty{settles: true, run: p.settle})
	case a.recheck:
		p.leading.Store(false)
		p.readySince = 0
		p.resumePaused(ctx)
	default:
		p.leading.Store(false)
		p.readySince = 0
	}
	return true
}
