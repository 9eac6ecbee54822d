package promoter

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// duty is what the holder of a service's lock has to do.
type duty struct {
	// run gets a fencing token for its calls.
	run func(ctx context.Context, token uint64) error
	// deadPrimary is the primary to replace; empty for none.
	deadPrimary string
	// settles is set if no member is to be promoted: an earlier promotion is ended.
	settles bool
}

// tryToLead does a duty if this host holds the lock. Otherwise it first takes the lock, after
// this host's takeover delay.
func (p *Promoter) tryToLead(ctx context.Context, now time.Duration, d duty) {
	if p.readySince == 0 {
		p.readySince = now
	}
	lock, incarnation := p.registry.LockOf(p.service), p.currentPrimary()
	p.mu.Lock()
	backingOff := now < p.backoffUntil
	holds := lock.Holder == p.host && lock.Token() == p.newestToken && lock.Token() > p.fencedToken
	peerReports := p.peerReports.Current(incarnation, now)
	p.mu.Unlock()
	storeUnreachable := p.registry.StoreUnreachable()
	mayLead := !backingOff && holds && p.features.Enabled(feature.StandingLeader) && succession.MayLead(p.host, lock, !storeUnreachable, peerReports)
	token, hasToken := uint64(0), false
	if mayLead {
		token, hasToken = p.takeToken(d, !storeUnreachable)
	}
	p.leading.Store(hasToken)
	switch {
	case hasToken:
		if !d.settles {
			eventlog.PrimaryLossAgreed.Info(p.log).Str("upstream", d.deadPrimary).Uint64("token", token).
				Bool("store_away", storeUnreachable).Int("opinions", len(peerReports)).Send()
		}
		p.lead(ctx, token, d)
	case !backingOff && !storeUnreachable && (mayLead || now >= p.earliestTakeover(lock)):
		p.takeOver(ctx, lock, d)
	}
}

// takeToken returns a fencing token for a duty of this host as the lock's holder. It returns
// false if the lock has to be written again for one. A token that was used before is returned
// only if no call with it can still be executed, or without synchronous replicas, where a
// rollback by a late call loses no more than the failover itself. A duty that promotes no
// member gets the lock's newest token, and takes one for a call only if it makes one.
func (p *Promoter) takeToken(d duty, storeReached bool) (uint64, bool) {
	if !d.settles {
		if token, fresh := p.takeFreshToken(); fresh {
			return token, true
		}
	}
	syncReplicas := p.spec().SyncReplicas
	p.mu.Lock()
	defer p.mu.Unlock()
	repeatable := d.settles || syncReplicas == 0 || !storeReached && p.unansweredToken < p.newestToken
	return p.newestToken, repeatable && p.newestToken > 0
}

// takeFreshToken returns a fencing token that no call has used. It returns false if there is
// none.
func (p *Promoter) takeFreshToken() (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tokens.Take()
}

// observeLock records when another host takes the lock, which shows that it is active. While
// promotions fail, several hosts wait to take over, and each new holder needs its turn:
// otherwise they would promote one after the other.
func (p *Promoter) observeLock(now time.Duration) {
	lock := p.registry.LockOf(p.service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seenLock > 0 && lock.Revision > p.seenLock {
		p.leaderSeenAt = max(p.leaderSeenAt, now)
	}
	p.seenLock = max(p.seenLock, lock.Revision)
}

// earliestTakeover returns when this host may take the lock.
func (p *Promoter) earliestTakeover(lock succession.Lock) time.Duration {
	rank := p.takeoverRank(lock.Holder)
	p.mu.Lock()
	defer p.mu.Unlock()
	vacant := lock.Holder == "" || lock.Holder == p.host || !p.features.Enabled(feature.StandingLeader)
	start := succession.EarliestStart(rank, vacant, p.readySince, p.leaderSeenAt)
	if lock.Holder != "" && lock.Holder != p.host && p.orderedAt > 0 {
		start = max(start, p.orderedAt+succession.MinTurn)
	}
	return start
}

// lockLost reports whether another host is known to have taken the lock since this host
// acquired a token.
func (p *Promoter) lockLost(token uint64) bool {
	lock := p.registry.LockOf(p.service)
	return lock.Holder != "" && lock.Holder != p.host && lock.Token() > token
}

// holderQueryDue reports whether this host may soon take the lock for a switchover, so that
// it asks the holder whether it leads one. A holder at work needs no questions from the
// whole fleet before.
func (p *Promoter) holderQueryDue(now time.Duration) bool {
	return p.readySince > 0 && now >= p.earliestTakeover(p.registry.LockOf(p.service))-holderQueryLead
}

// takeoverRank returns this host's position in the order in which hosts take over
// the lock from its holder.
func (p *Promoter) takeoverRank(holder string) int {
	return succession.TakeoverRank(p.service, p.host, holder, p.registry.Hosts())
}

// takeOver takes the lock and does a duty with it.
func (p *Promoter) takeOver(ctx context.Context, lock succession.Lock, d duty) {
	revision, err := p.takeLock(ctx, lock)
	if err != nil {
		p.backOff(attemptBackoff)
		return
	}
	eventlog.PromotionLockTaken.Info(p.log).Uint64("token", revision).Str("from", lock.Holder).Send()
	if token, ok := p.takeToken(d, true); ok {
		p.leading.Store(true)
		p.lead(ctx, token, d)
	}
}

// lead does a duty with the given fencing token.
func (p *Promoter) lead(ctx context.Context, token uint64, d duty) {
	ctx, cancel := context.WithTimeout(ctx, promotionTimeout)
	defer cancel()
	err := d.run(ctx, token)
	order := "settle"
	if !d.settles {
		order = "promotion"
		p.onResult(resultOf(err))
		p.recordWithheld(err)
	}
	if err != nil {
		eventlog.GroupCommandFailed.Warn(p.log).Err(err).Str("order", order).Uint64("token", token).Send()
		if tokenRefused(err) {
			p.refuseTokens()
		}
	}
	if err != nil || !d.settles {
		p.backOff(attemptBackoff)
	}
	p.leading.Store(false)
	p.readySince = 0
}

// refuseTokens gives up the tokens of this host's lock, because the platform has refused one.
func (p *Promoter) refuseTokens() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fencedToken = p.newestToken
}

// backOff keeps this host from leading a promotion for a while.
func (p *Promoter) backOff(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoffUntil = max(p.backoffUntil, clock.Now()+d)
}

// lockTimeout bounds one attempt to take the lock.
const lockTimeout = time.Second

// takeLock takes the service's lock if it is unchanged since known. A new holder does not know
// what promotions its predecessors, or earlier processes of this host, have left behind. The
// first holder of a group has none: no lock has been seen, and the record of members, which
// outlives all hosts, does not exist.
func (p *Promoter) takeLock(ctx context.Context, known succession.Lock) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	token, err := p.registry.TakeLock(ctx, p.service, known)
	if err != nil {
		eventlog.GroupCommandFailed.Info(p.log).Err(err).Str("order", "lock").Send()
		return 0, err
	}
	recorded := p.registry.SyncGroup(p.service).Revision > 0
	p.mu.Lock()
	defer p.mu.Unlock()
	renewed := known.Holder == p.host && known.Token() == p.newestToken
	first := known.Revision == 0 && p.seenLock == 0 && !recorded
	p.tokens.Acquired(known.Revision, store.Revision(token))
	p.newestToken = max(p.newestToken, token)
	if !renewed && !first {
		p.unsettledSince, p.unfenced = clock.Now(), true
	}
	return token, nil
}
