// Package promoter replaces primaries: those that enough hosts have lost, and
// those that leave as planned. Every host runs it; the holder of the service's
// lock in the platform's store leads, and the lock's revision fences its orders.
package promoter

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// Caller orders promotions from the platform.
type Caller interface {
	Promote(ctx context.Context, service, member string, token uint64) error
}

// Registry is what a promoter needs of the platform's store.
type Registry interface {
	Hosts() []string
	Suspecting(service, member string) []string
	// Away reports whether this host does not reach the store.
	Away() bool
	LockOf(service string) succession.Lock
	// TakeLock takes a lock that is still as known and returns its token.
	TakeLock(ctx context.Context, service string, known succession.Lock) (token uint64, err error)
	Suspect(ctx context.Context, service, member string) error
	Trust(ctx context.Context, service, member string) error
}

// Peers is what a promoter asks other hosts directly.
type Peers interface {
	// Opinion asks a host whether it has lost a primary. It reports false when
	// the host does not answer in time.
	Opinion(ctx context.Context, service, primary, host string) (succession.Opinion, bool)
	// AddressOf returns where a host takes statements of others.
	AddressOf(host string) (string, bool)
	// Announce tells all hosts who leads. It does not wait.
	Announce(service, primary string, term logpos.Term)
}

const (
	// interval is how often a group is looked at, and doubtInterval how often
	// while its primary is in doubt: callers wait meanwhile.
	interval      = 100 * time.Millisecond
	doubtInterval = 50 * time.Millisecond
	// noMember stands for the primary of a group in which nobody leads.
	noMember = "none"
	// leaderlessFor is how long a group must be seen without any primary before
	// that is reported: longer than a promotion that is under way takes to show.
	leaderlessFor = 1500 * time.Millisecond
	// attemptTime bounds one promotion, so that a group is not held up for ever.
	attemptTime = 5 * time.Second
	// pauseAfterFailure spaces attempts.
	pauseAfterFailure = 500 * time.Millisecond
)

// Promoter looks after one group.
type Promoter struct {
	service  string
	host     string
	set      *replicaset.Set
	registry Registry
	caller   Caller
	peers    Peers
	spec     func() catalog.Service
	observe  func(Result)
	without  mechanism.Without
	log      zerolog.Logger

	// wake has the group looked at now.
	wake chan struct{}
	// lookedAt is when the group was last looked at, on the clock of node/clock.
	lookedAt atomic.Int64
	// leading tells other hosts that this one leads a promotion, or is about to.
	leading atomic.Bool

	// The fields up to keeper belong to the loop of Run.

	// leaderlessSince is when no primary was first seen; zero while there is.
	leaderlessSince time.Duration
	// readySince is when the present reason to act was first seen.
	readySince time.Duration
	// verifiedAt is when a primary in doubt was last probed.
	verifiedAt time.Duration
	// fenced is the newest token that the platform has refused; it is not used
	// again.
	fenced uint64

	// keeper belongs to the loop of keepStore.
	keeper storeKeeper

	// mu guards the fields below; it is a leaf.
	mu sync.Mutex
	// lost is the primary that this host has lost, since lostSince; empty while
	// it has not.
	lost      string
	lostSince time.Duration
	// askedUntil is until when another host's question keeps the primary in doubt.
	askedUntil time.Duration
	quietUntil time.Duration
	// token is the newest that this host has taken since it started.
	token    uint64
	opinions succession.Opinions
	// askedAt is when each host was last asked.
	askedAt map[string]time.Duration
	// leaderSeen is when the holder of the lock last said that it leads.
	leaderSeen time.Duration
}

// Config is what a Promoter needs from its surroundings.
type Config struct {
	Service, Host string
	Set           *replicaset.Set
	Registry      Registry
	Caller        Caller
	Peers         Peers
	// Spec returns the operators' declaration of the service.
	Spec func() catalog.Service
	// Observe is told of each promotion that this host has led.
	Observe func(Result)
	// Without is what the host is run without.
	Without mechanism.Without
	Log     zerolog.Logger
}

// New returns a promoter; Run starts it.
func New(cfg Config) *Promoter {
	return &Promoter{
		service: cfg.Service, host: cfg.Host, set: cfg.Set, registry: cfg.Registry, caller: cfg.Caller, peers: cfg.Peers,
		spec: cfg.Spec, observe: cfg.Observe, without: cfg.Without, log: cfg.Log.With().Str("service", cfg.Service).Logger(),
		wake: make(chan struct{}, 1), askedAt: map[string]time.Duration{},
	}
}

// Run looks after the group until the context ends.
func (p *Promoter) Run(ctx context.Context) {
	go clock.Every(ctx, interval, func() { p.keepStore(ctx) })
	for ctx.Err() == nil {
		timer := time.NewTimer(p.look(ctx))
		select {
		case <-timer.C:
		case <-p.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// Leading reports whether this host leads a promotion, or is about to.
func (p *Promoter) Leading() bool { return p.leading.Load() }

// Wake has the group looked at now.
func (p *Promoter) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// look acts when it is this host's turn. It returns when to look again.
func (p *Promoter) look(ctx context.Context) time.Duration {
	now := clock.Now()
	if p.stoodStill(now) {
		p.set.Resumed(now)
	}
	defer func() { p.lookedAt.Store(int64(clock.Now())) }()
	p.corroborate(now)
	failed := p.failedPrimary(now)
	p.noteLost(failed, now)
	leaves := failed == "" && p.handoverDue()
	doubted := failed != "" || p.doubted(now)
	if !doubted && !leaves && !p.asked(now) {
		p.leading.Store(false)
		p.readySince = 0
		return interval
	}
	p.verify(ctx, now)
	p.askOthers(ctx, now, doubted, failed != "")
	p.detour(failed, now)
	switch {
	case failed != "" && p.agreed(failed, now):
		p.act(ctx, now, failed, func(ctx context.Context, token uint64) error { return p.replace(ctx, failed, token) })
	case leaves:
		p.act(ctx, now, "", p.handOver)
	default:
		p.leading.Store(false)
		p.readySince = 0
	}
	return doubtInterval
}

// stallAfter is how late a look may be for this host to count as running: several
// intervals, and longer than a processor quota holds it up.
const stallAfter = 300 * time.Millisecond

// stoodStill reports whether this host has been suspended, or without a processor,
// since it last looked. It has heard nothing meanwhile, so that every member
// would look silent to it.
func (p *Promoter) stoodStill(now time.Duration) bool {
	last := time.Duration(p.lookedAt.Load())
	return last > 0 && now-last > stallAfter
}

// failedPrimary returns the member that this host takes for a dead primary,
// noMember for a group that nobody leads, or the empty string.
func (p *Promoter) failedPrimary(now time.Duration) string {
	id, found := p.set.Believed()
	if !found {
		if len(p.set.Members()) == 0 {
			p.leaderlessSince = 0
			return ""
		}
		if p.leaderlessSince == 0 {
			p.leaderlessSince = now
		}
		if now-p.leaderlessSince >= leaderlessFor {
			return noMember
		}
		return ""
	}
	p.leaderlessSince = 0
	if m, known := p.set.Member(id); known && m.Dead(now) {
		return id
	}
	return ""
}

// noteLost keeps what other hosts and the store are told of.
func (p *Promoter) noteLost(failed string, now time.Duration) {
	life := p.life(failed)
	p.mu.Lock()
	changed := life != p.lost
	if changed {
		p.lost, p.lostSince = life, now
	}
	p.mu.Unlock()
	if changed && life != "" {
		eventlog.PrimaryBelievedDead.Info(p.log).Str("upstream", failed).Dur("alive_ms_ago", p.aliveAgo(failed, now)).Send()
	}
}

// aliveAgo returns how long ago the newest thing that a member answered was sent;
// zero for one that has answered nothing here.
func (p *Promoter) aliveAgo(id string, now time.Duration) time.Duration {
	if m, known := p.set.Member(id); known && m.LastAlive() > 0 {
		return now - m.LastAlive()
	}
	return 0
}

// life names the present life of a member, so that what is said of an earlier
// one does not count against it.
func (p *Promoter) life(id string) string {
	if m, known := p.set.Member(id); known {
		return m.Life()
	}
	return id
}

// asked reports whether another host asks about the primary.
func (p *Promoter) asked(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now < p.askedUntil
}

// doubted reports whether the primary may be lost: an exchange with it failed, it
// is silent, or another host has said so in the store.
func (p *Promoter) doubted(now time.Duration) bool {
	id, found := p.set.Believed()
	if !found {
		return true
	}
	m, known := p.set.Member(id)
	return !known || m.Doubtful(now) || len(p.registry.Suspecting(p.service, m.Life())) > 0
}

// corroborate passes on whether other hosts have lost the primary as well.
func (p *Promoter) corroborate(now time.Duration) {
	id, found := p.set.Believed()
	if !found {
		return
	}
	m, known := p.set.Member(id)
	if !known {
		return
	}
	others := slices.DeleteFunc(p.suspecting(m.Life(), now), func(host string) bool { return host == p.host })
	m.Corroborate(len(others) > 0)
}

// suspecting returns the hosts that have said, directly or in the store, that
// they have lost a primary.
func (p *Promoter) suspecting(life string, now time.Duration) []string {
	p.mu.Lock()
	told := succession.Suspecting(p.opinions.Of(life, now))
	p.mu.Unlock()
	if !p.without.Has(mechanism.DirectVotes) {
		told = nil
	}
	for _, host := range p.registry.Suspecting(p.service, life) {
		if !slices.Contains(told, host) {
			told = append(told, host)
		}
	}
	return told
}

// agreed reports whether enough hosts have lost the primary.
func (p *Promoter) agreed(failed string, now time.Duration) bool {
	suspecting := p.suspecting(p.life(failed), now)
	if !slices.Contains(suspecting, p.host) {
		suspecting = append(suspecting, p.host)
	}
	return succession.Lost(suspecting, p.voters())
}

func (p *Promoter) voters() []string {
	return succession.Voters(p.service, p.registry.Hosts())
}

const (
	// verifyInterval spaces the probes of a primary in doubt.
	verifyInterval = 60 * time.Millisecond
	// provenFor is how long an answer of the primary settles a doubt. Each probe
	// takes one of its slots for a moment; nine voters that went on probing made
	// 15 times as many, 664 in place of 42 on a day of freezes and resets.
	provenFor = 300 * time.Millisecond
)

// verify probes a primary that is in doubt until it is known to live or to be
// dead. A host without traffic would have no evidence of its own, and its voice
// would be missing.
func (p *Promoter) verify(ctx context.Context, now time.Duration) {
	id, found := p.set.Believed()
	if !found || now-p.verifiedAt < verifyInterval || !p.set.Votes() {
		return
	}
	m, known := p.set.Member(id)
	if !known || m.Dead(now) || now-m.LastAlive() < provenFor {
		return
	}
	p.verifiedAt = now
	p.set.Examine(ctx, m)
}
