package promoter

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

const (
	// lockTimeout bounds a change of the lock between promotions.
	lockTimeout = time.Second
	// opinionTime bounds the wait for the voters' opinions: three round trips
	// between regions and a busy host's turn.
	opinionTime = 150 * time.Millisecond
	// opinionInterval spaces the questions: a voter without traffic probes the
	// primary when it is first asked, and knows by the next time.
	opinionInterval = 250 * time.Millisecond
)

// keepLock sees that some host holds the lock between promotions, so that one
// has a token when the store is away: the first in the order of the service.
func (p *Promoter) keepLock(ctx context.Context, now time.Duration) {
	lock := p.registry.LockOf(p.service)
	mine := lock.Holder == p.host && lock.Acting
	vacant := lock.Holder == "" && p.rank() == 0
	if now < p.quietUntil || p.registry.Away() || !(mine || vacant) {
		return
	}
	p.takeIdle(ctx, lock)
}

// release shows that the promotion that this host led is over.
func (p *Promoter) release() {
	p.takeIdle(context.Background(), p.registry.LockOf(p.service))
}

func (p *Promoter) takeIdle(ctx context.Context, known succession.Lock) {
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	if _, err := p.registry.TakeLock(ctx, p.service, known, false); err != nil {
		eventlog.OrderFailed.Info(p.log).Err(err).Str("order", "hold the lock").Send()
		p.quietUntil = max(p.quietUntil, clock.Now()+pauseAfterFailure)
	}
}

// actAlone replaces a primary while this host does not reach the store, with
// the token of the lock that it holds. The voters are asked directly.
func (p *Promoter) actAlone(ctx context.Context, now time.Duration, failed string) {
	lock := p.registry.LockOf(p.service)
	if lock.Holder != p.host || lock.Revision <= p.fenced || now < p.quietUntil {
		return
	}
	p.quietUntil = now + opinionInterval
	voters := succession.Voters(p.service, p.registry.Hosts())
	asking, cancel := context.WithTimeout(ctx, opinionTime)
	opinions := p.peers.Opinions(asking, p.service, failed, voters)
	cancel()
	if !succession.MayActAlone(p.host, lock, opinions, voters) {
		return
	}
	eventlog.LockUsedAlone.Info(p.log).Uint64("token", lock.Revision).Int("opinions", len(opinions)).Str("upstream", failed).Send()
	ctx, cancel = context.WithTimeout(ctx, attemptTime)
	defer cancel()
	p.lead(ctx, lock.Revision, func(ctx context.Context, token uint64) error { return p.replace(ctx, failed, token) })
}

// Lost reports whether this host has lost a primary, for another one that asks.
// A host without evidence of its own looks for it.
func (p *Promoter) Lost(ctx context.Context, member string) bool {
	if member == noMember {
		_, found := p.set.Believed()
		return !found
	}
	m, known := p.set.Member(member)
	if !known {
		return false
	}
	if m.Dead(clock.Now()) {
		return true
	}
	go func() {
		// The member's health keeps what comes of it.
		_, _ = p.set.Status(ctx, m)
	}()
	return false
}
