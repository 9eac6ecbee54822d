// Package promoter replaces primaries: those that enough hosts have lost, and
// those that leave as planned. Every host runs it; the holder of the service's
// lock in the platform's store leads, and the lock's revision fences its orders.
package promoter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
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
	// Epoch returns the store's epoch as far as this host has heard.
	Epoch() store.Epoch
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
	// Interval is how often a group is glanced at, and doubtInterval how often it is
	// looked at while its primary is in doubt: callers wait meanwhile.
	Interval      = 100 * time.Millisecond
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
	without  mechanism.Disabled
	log      zerolog.Logger

	// wake has the group looked at now, and keep what the store is told of it.
	wake, keep chan struct{}
	// attending is held while the group is looked at; keeping while what the store
	// is told of it is brought up to date. Neither is taken while the other is held.
	attending, keeping sync.Mutex
	// lookedAt is when the group was last looked at, on the clock of node/clock.
	lookedAt atomic.Int64
	// leading tells other hosts that this one leads a promotion, or is about to.
	leading atomic.Bool

	// The fields up to keeper belong to who holds attending.

	// leaderlessSince is when no primary was first seen; zero while there is.
	leaderlessSince time.Duration
	// readySince is when the present reason to act was first seen.
	readySince time.Duration
	// verifiedAt is when a primary in doubt was last probed.
	verifiedAt time.Duration
	// fenced is the newest token that the platform has refused; it is not used
	// again.
	fenced uint64

	// keeper belongs to who holds keeping.
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
	Without mechanism.Disabled
	Log     zerolog.Logger
}

// New returns a promoter; Run starts it.
func New(cfg Config) *Promoter {
	return &Promoter{
		service: cfg.Service, host: cfg.Host, set: cfg.Set, registry: cfg.Registry, caller: cfg.Caller, peers: cfg.Peers,
		spec: cfg.Spec, observe: cfg.Observe, without: cfg.Without, log: cfg.Log.With().Str("service", cfg.Service).Logger(),
		wake: make(chan struct{}, 1), keep: make(chan struct{}, 1), askedAt: map[string]time.Duration{},
	}
}

// Run looks after the group until the context ends, whenever Tick or Wake finds
// that it needs that.
func (p *Promoter) Run(ctx context.Context) {
	go p.runKeeper(ctx)
	for {
		select {
		case <-p.wake:
			p.attend(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// attend looks at the group until it is calm.
func (p *Promoter) attend(ctx context.Context) {
	p.attending.Lock()
	defer p.attending.Unlock()
	for p.look(ctx) {
		timer := time.NewTimer(doubtInterval)
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

// Tick glances at the group, and has it attended to if it needs that. It does not
// wait. Load pattern: every host has a promoter for every group, and nearly all
// groups are calm. With two timers for each of 20 groups a host woke 400 times a
// second for nothing; now one timer serves all of them.
func (p *Promoter) Tick(now time.Duration) {
	if p.attending.TryLock() {
		calm := p.glance(now).calm()
		p.attending.Unlock()
		if !calm {
			p.Wake()
		}
	}
	if p.keeping.TryLock() {
		due := p.storeDue(now)
		p.keeping.Unlock()
		if due {
			signal(p.keep)
		}
	}
}

// signal makes a channel ready unless it is.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Leading reports whether this host leads a promotion, or is about to.
func (p *Promoter) Leading() bool { return p.leading.Load() }

// Wake has the group looked at now.
func (p *Promoter) Wake() { signal(p.wake) }

// glance is what a first look at the group shows.
type glance struct {
	// failed is the member that this host takes for a dead primary; empty for none.
	failed string
	// leaves tells that the primary leaves by plan, doubted that it may be lost, and
	// asked that another host asks about it.
	leaves, doubted, asked bool
}

func (g glance) calm() bool { return !g.leaves && !g.doubted && !g.asked }

// glance sees whether the group needs attention. It is called with attending held.
func (p *Promoter) glance(now time.Duration) glance {
	if p.stoodStill(now) {
		p.set.Resumed(now)
	}
	p.lookedAt.Store(int64(now))
	p.corroborate(now)
	g := glance{failed: p.failedPrimary(now), asked: p.asked(now)}
	p.noteLost(g.failed, now)
	g.leaves = g.failed == "" && p.handoverDue()
	g.doubted = g.failed != "" || p.doubted(now)
	return g
}

// look acts when it is this host's turn. It reports whether the group is to be
// looked at again soon.
func (p *Promoter) look(ctx context.Context) bool {
	now := clock.Now()
	g := p.glance(now)
	defer func() { p.lookedAt.Store(int64(clock.Now())) }()
	if g.calm() {
		p.leading.Store(false)
		p.readySince = 0
		return false
	}
	p.verify(ctx, now)
	p.askOthers(ctx, now, g.doubted, g.failed != "")
	p.detour(g.failed, now)
	switch {
	case g.failed != "" && p.agreed(g.failed, now):
		p.act(ctx, now, g.failed, func(ctx context.Context, token uint64) error { return p.replace(ctx, g.failed, token) })
	case g.leaves:
		p.act(ctx, now, "", p.handOver)
	default:
		p.leading.Store(false)
		p.readySince = 0
	}
	return true
}
