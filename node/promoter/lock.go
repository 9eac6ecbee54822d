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
	// vacancyTime is how long a lock is seen without a holder before one takes it
	// for later. Load pattern: a fleet starts; each of its hosts knows only itself
	// at first, and would take the lock of every service.
	vacancyTime = time.Second
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
	if now < p.quietUntil || p.registry.Away() || !(mine || p.vacancyIsMine(lock, now)) {
		return
	}
	p.takeIdle(ctx, lock)
}

// vacancyIsMine reports whether this host is to take a lock that nobody holds.
func (p *Promoter) vacancyIsMine(lock succession.Lock, now time.Duration) bool {
	if lock.Holder != "" || p.rank() > 0 {
		p.vacantSince = 0
		return false
	}
	if p.vacantSince == 0 {
		p.vacantSince = now
	}
	return now-p.vacantSince >= vacancyTime
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
// the token of the lock that it holds. The voters are asked directly. A host
// that does not hold the lock asks its holder, which then looks for itself: it
// may have no traffic that would show it the loss.
func (p *Promoter) actAlone(ctx context.Context, now time.Duration, failed string) {
	lock := p.registry.LockOf(p.service)
	if lock.Holder == "" || lock.Revision <= p.fenced || now < p.quietUntil {
		return
	}
	p.quietUntil = now + opinionInterval
	voters := succession.Voters(p.service, p.registry.Hosts())
	if lock.Holder != p.host {
		p.opinions(ctx, failed, []string{lock.Holder})
		return
	}
	opinions := p.opinions(ctx, failed, voters)
	if !succession.MayActAlone(p.host, lock, opinions, voters) {
		return
	}
	eventlog.LockUsedAlone.Info(p.log).Uint64("token", lock.Revision).Int("opinions", len(opinions)).Str("upstream", failed).Send()
	ctx, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()
	p.lead(ctx, lock.Revision, func(ctx context.Context, token uint64) error { return p.replace(ctx, failed, token) })
}

func (p *Promoter) opinions(ctx context.Context, failed string, hosts []string) []succession.Opinion {
	ctx, cancel := context.WithTimeout(ctx, opinionTime)
	defer cancel()
	return p.peers.Opinions(ctx, p.service, failed, hosts)
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
	p.set.Check(ctx, m)
	return false
}
