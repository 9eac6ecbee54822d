package promoter

import (
	"context"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// act runs a promotion if this host holds the lock, or takes the lock once it is
// its turn. Failed is the primary that is replaced, empty for one that leaves.
func (p *Promoter) act(ctx context.Context, now time.Duration, failed string, promote func(context.Context, uint64) error) {
	if p.readySince == 0 {
		p.readySince = now
	}
	lock, life := p.registry.LockOf(p.service), p.subject()
	p.mu.Lock()
	quiet := now < p.quietUntil
	holds := lock.Holder == p.host && lock.Token() == p.token && lock.Token() > p.fenced
	opinions := p.opinions.Current(life, now)
	p.mu.Unlock()
	away := p.registry.Away()
	able := !quiet && holds && p.without.Enabled(mechanism.StandingLeader) && succession.MayLead(p.host, lock, !away, opinions)
	p.leading.Store(able)
	switch {
	case able:
		eventlog.LossAgreed.Info(p.log).Str("upstream", failed).Uint64("token", lock.Token()).
			Bool("store_away", away).Int("opinions", len(opinions)).Send()
		p.lead(ctx, lock.Token(), promote)
	case !quiet && !away && now >= p.turn(lock):
		p.takeOver(ctx, lock, promote)
	}
}

// turn returns when this host may take the lock.
func (p *Promoter) turn(lock succession.Lock) time.Duration {
	rank := p.rank(lock.Holder)
	p.mu.Lock()
	defer p.mu.Unlock()
	vacant := lock.Holder == "" || lock.Holder == p.host || !p.without.Enabled(mechanism.StandingLeader)
	return succession.EarliestStart(rank, vacant, p.readySince, p.leaderSeen)
}

// rank is this host's place in the order in which hosts take the lock from its
// holder.
func (p *Promoter) rank(holder string) int {
	order := slices.DeleteFunc(succession.RankHosts(p.service, p.registry.Hosts()), func(host string) bool {
		return host == holder && host != p.host
	})
	return max(slices.Index(order, p.host), 0)
}

// takeOver takes the lock and runs a promotion with it.
func (p *Promoter) takeOver(ctx context.Context, lock succession.Lock, promote func(context.Context, uint64) error) {
	token, err := p.takeLock(ctx, lock)
	if err != nil {
		p.quiet(pauseAfterFailure)
		return
	}
	eventlog.LockTaken.Info(p.log).Uint64("token", token).Str("from", lock.Holder).Send()
	p.leading.Store(true)
	p.lead(ctx, token, promote)
}

// lead runs one promotion under a token.
func (p *Promoter) lead(ctx context.Context, token uint64, promote func(context.Context, uint64) error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()
	err := promote(ctx, token)
	p.observe(resultOf(err))
	if err != nil {
		eventlog.OrderFailed.Warn(p.log).Err(err).Str("order", "promotion").Uint64("token", token).Send()
		if refused(err) {
			p.fenced = token
		}
	}
	p.quiet(pauseAfterFailure)
	p.leading.Store(false)
	p.readySince = 0
}

// quiet has this host lead nothing for a while.
func (p *Promoter) quiet(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quietUntil = max(p.quietUntil, clock.Now()+d)
}

// lockTimeout bounds a change of the lock.
const lockTimeout = time.Second

// takeLock takes the lock of the service, provided that it is as known.
func (p *Promoter) takeLock(ctx context.Context, known succession.Lock) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	token, err := p.registry.TakeLock(ctx, p.service, known)
	if err != nil {
		eventlog.OrderFailed.Info(p.log).Err(err).Str("order", "lock").Send()
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.token = max(p.token, token)
	return token, nil
}
