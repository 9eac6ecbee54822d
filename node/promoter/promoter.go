// Package promoter replaces primaries: those that enough hosts have lost, and
// those that leave as planned. Every host runs it; a lock in the platform's
// store decides which one acts, and the lock's revision fences its orders.
package promoter

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
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
	TakeLock(ctx context.Context, service string, known succession.Lock, acting bool) (token uint64, err error)
	Suspect(ctx context.Context, service, member string) error
	Trust(ctx context.Context, service, member string) error
}

// Peers is what a promoter asks other hosts directly.
type Peers interface {
	// Opinions asks hosts whether they have lost a primary. Hosts that do not
	// answer in time are left out.
	Opinions(ctx context.Context, service, member string, hosts []string) []succession.Opinion
}

const (
	// interval is how often a group is looked at.
	interval = 100 * time.Millisecond
	// noMember stands for the primary of a group in which nobody leads.
	noMember = "none"
	// leaderlessFor is how long a group must be seen without any primary before
	// that is reported: longer than a promotion that is under way takes to show.
	leaderlessFor = 1500 * time.Millisecond
	// attemptTime bounds one promotion, so that a lock is not held for ever.
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
	log      zerolog.Logger

	// reported is the member that this host has reported as dead.
	reported string
	// leaderlessSince is when no primary was first seen; zero while there is.
	leaderlessSince time.Duration
	// readySince is when the present reason to act was first seen.
	readySince time.Duration
	quietUntil time.Duration
	// vacantSince is since when this host is to take a lock that nobody holds.
	vacantSince time.Duration
	// fenced is the newest token that the platform has refused; it is not used
	// again.
	fenced uint64
	// verifiedAt is when a reported primary was last probed.
	verifiedAt time.Duration
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
	Log     zerolog.Logger
}

// New returns a promoter; Run starts it.
func New(cfg Config) *Promoter {
	return &Promoter{
		service: cfg.Service, host: cfg.Host, set: cfg.Set, registry: cfg.Registry, caller: cfg.Caller, peers: cfg.Peers,
		spec: cfg.Spec, observe: cfg.Observe, log: cfg.Log.With().Str("service", cfg.Service).Logger(),
	}
}

// Run looks after the group until the context ends.
func (p *Promoter) Run(ctx context.Context) {
	clock.Every(ctx, interval, func() { p.look(ctx) })
}

// look reports what this host sees and acts when it is its turn.
func (p *Promoter) look(ctx context.Context) {
	now := clock.Now()
	p.corroborate()
	failed := p.failedPrimary(now)
	if failed == "" {
		p.verify(ctx, now)
	}
	// A call to a store that does not answer would hold up all that follows.
	away := p.registry.Away()
	if failed != p.reported && !away && p.speaks(failed) {
		p.report(ctx, failed)
	}
	switch {
	case failed != "" && away:
		p.actAlone(ctx, now, failed)
	case failed != "" && p.agreed(failed):
		p.act(ctx, now, func(ctx context.Context, token uint64) error { return p.replace(ctx, failed, token) })
	case failed == "" && p.handoverDue():
		p.act(ctx, now, p.handOver)
	default:
		p.readySince = 0
		p.keepLock(ctx, now)
	}
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

// verifyInterval spaces the probes of a primary that other hosts report.
const verifyInterval = 250 * time.Millisecond

// speaks reports whether this host's word on the primary is wanted: it votes,
// takes a word back, or is the first to find the primary dead. The voters may
// have no traffic of their own, and look once anyone has spoken.
func (p *Promoter) speaks(failed string) bool {
	return failed == "" || p.set.Votes() || len(p.registry.Suspecting(p.service, failed)) == 0
}

// corroborate passes on what other hosts report of the primary.
func (p *Promoter) corroborate() {
	id, found := p.set.Believed()
	if !found {
		return
	}
	if m, known := p.set.Member(id); known {
		others := slices.DeleteFunc(p.registry.Suspecting(p.service, id), func(host string) bool { return host == p.host })
		m.Corroborate(len(others) > 0)
	}
}

// verify probes a primary that other hosts report as dead. A host without
// traffic would have no evidence of its own, and its voice would be missing.
func (p *Promoter) verify(ctx context.Context, now time.Duration) {
	id, found := p.set.Believed()
	if !found || now-p.verifiedAt < verifyInterval || len(p.registry.Suspecting(p.service, id)) == 0 || !p.set.Votes() {
		return
	}
	p.verifiedAt = now
	if m, known := p.set.Member(id); known {
		p.set.Check(ctx, m)
	}
}

// report keeps this host's word on the primary in the store up to date.
func (p *Promoter) report(ctx context.Context, failed string) {
	if p.reported != "" {
		if err := p.registry.Trust(ctx, p.service, p.reported); err != nil {
			eventlog.OrderFailed.Warn(p.log).Err(err).Str("order", "take a report back").Send()
			return
		}
		p.reported = ""
	}
	if failed == "" {
		return
	}
	if err := p.registry.Suspect(ctx, p.service, failed); err != nil {
		eventlog.OrderFailed.Warn(p.log).Err(err).Str("order", "report a dead primary").Send()
		return
	}
	eventlog.PrimaryReported.Info(p.log).Str("upstream", failed).Send()
	p.reported = failed
}

// agreed reports whether enough hosts have lost the primary.
func (p *Promoter) agreed(failed string) bool {
	suspecting := p.registry.Suspecting(p.service, failed)
	if !slices.Contains(suspecting, p.host) {
		suspecting = append(suspecting, p.host)
	}
	return succession.Lost(suspecting, succession.Voters(p.service, p.registry.Hosts()))
}

// act runs a promotion under the lock once it is this host's turn.
func (p *Promoter) act(ctx context.Context, now time.Duration, promote func(context.Context, uint64) error) {
	if p.readySince == 0 {
		p.readySince = now
	}
	lock := p.registry.LockOf(p.service)
	if !lock.Free(p.host) || now < p.quietUntil {
		return
	}
	if now-p.readySince < succession.Turn(p.rank()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()
	token, err := p.registry.TakeLock(ctx, p.service, lock, true)
	if err != nil {
		eventlog.OrderFailed.Info(p.log).Err(err).Str("order", "lock").Send()
		p.quietUntil = clock.Now() + pauseAfterFailure
		return
	}
	eventlog.LockTaken.Info(p.log).Uint64("token", token).Send()
	p.lead(ctx, token, promote)
	p.release()
}

// lead runs one promotion under a token.
func (p *Promoter) lead(ctx context.Context, token uint64, promote func(context.Context, uint64) error) {
	err := promote(ctx, token)
	p.observe(resultOf(err))
	if err != nil {
		eventlog.OrderFailed.Warn(p.log).Err(err).Str("order", "promotion").Uint64("token", token).Send()
		if refused(err) {
			p.fenced = token
		}
	}
	p.quietUntil = clock.Now() + pauseAfterFailure
	p.readySince = 0
}

// rank is this host's place in the order in which hosts try.
func (p *Promoter) rank() int {
	return max(slices.Index(succession.Order(p.service, p.registry.Hosts()), p.host), 0)
}
