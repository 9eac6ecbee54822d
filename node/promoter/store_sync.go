package promoter

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

const (
	// reportDelay is how long this host must consider the primary dead before it
	// reports that in the store. Hosts that reach each other usually agree
	// directly within this time, which saves the writes to the store.
	reportDelay = 300 * time.Millisecond
	// vacantLockDelay is how long a lock must be without a holder before a host
	// takes it. When a fleet starts, each host knows only itself at first and
	// would take every lock.
	vacantLockDelay = time.Second
)

// storeSync is the state of the loop that writes to the store. The loop is
// separate from the one that leads promotions, which must not block on an
// unresponsive store.
type storeSync struct {
	// reported is the primary that this host has reported as dead, in the store
	// epoch reportedEpoch. Reports of earlier epochs are void.
	reported      string
	reportedEpoch store.Epoch
	// vacantSince is since when this host is due to take a vacant lock; zero if
	// it is not.
	vacantSince time.Duration
	// tokensAt is the earliest time at which the lock is written for new tokens.
	tokensAt time.Duration
	// syncGroupCheckAt is the earliest time of the next check of the record of members.
	syncGroupCheckAt time.Duration
}

// runStoreSync synchronizes with the store whenever Tick finds a difference,
// until the context ends.
func (p *Promoter) runStoreSync(ctx context.Context) {
	for {
		select {
		case <-p.storeWake:
			p.storeMu.Lock()
			p.syncStore(ctx)
			p.storeMu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// storeSyncDue reports whether syncStore has work to do. It is called with
// storeMu held.
func (p *Promoter) storeSyncDue(now time.Duration) bool {
	if p.registry.StoreUnreachable() {
		return false
	}
	lock := p.registry.LockOf(p.service)
	return p.primaryToReport(now) != p.reportedPrimary() || p.shouldTakeLock(lock, now) || p.syncGroupDue(lock, now)
}

// primaryToReport returns the primary that should be reported as dead in the
// store; empty for none. While a new report is not due yet, that is the primary
// already reported.
func (p *Promoter) primaryToReport(now time.Duration) string {
	p.mu.Lock()
	dead, since := p.deadIncarnation, p.deadSince
	p.mu.Unlock()
	if dead != "" && (now-since < reportDelay || !p.mayReport(dead)) {
		return p.reportedPrimary()
	}
	return dead
}

// reportedPrimary returns the primary that this host has reported as dead in the
// current epoch. It is called with storeMu held.
func (p *Promoter) reportedPrimary() string {
	if p.storeSync.reported == "" || p.storeSync.reportedEpoch != p.registry.Epoch() {
		return ""
	}
	return p.storeSync.reported
}

// shouldTakeLock reports whether this host should take the lock outside a
// promotion.
func (p *Promoter) shouldTakeLock(lock succession.Lock, now time.Duration) bool {
	p.mu.Lock()
	backingOff := now < p.backoffUntil
	p.mu.Unlock()
	return !backingOff && !p.leading.Load() && (p.vacantLockDue(lock, now) || p.tokensDue(lock, now))
}

const (
	// spareTokens is how many unused fencing tokens the holder of a lock keeps, so that
	// it can lead promotions beside a store that does not answer, also after a call
	// without an answer.
	spareTokens = 2
	// tokensInterval is the minimum time between two writes of a lock for new tokens.
	tokensInterval = time.Second
)

// tokensDue reports whether this host should write its lock again to get fencing tokens that
// no earlier call has used. Without synchronous replicas it needs one only after a call
// without an answer.
func (p *Promoter) tokensDue(lock succession.Lock, now time.Duration) bool {
	p.mu.Lock()
	holds := lock.Holder == p.host && lock.Token() == p.newestToken
	left, pending := p.tokens.Left(), p.unansweredToken > 0
	p.mu.Unlock()
	if !holds || now < p.storeSync.tokensAt {
		return false
	}
	return p.spec().SyncReplicas > 0 && left < spareTokens || pending && left == 0
}

// syncStore updates this host's report on the primary, takes a vacant lock if this host is
// the one to do so, and writes the record of the group's members. It is called with storeMu held.
func (p *Promoter) syncStore(ctx context.Context) {
	if p.registry.StoreUnreachable() {
		return
	}
	now := clock.Now()
	if dead := p.primaryToReport(now); dead != p.reportedPrimary() {
		p.report(ctx, dead)
	}
	lock := p.registry.LockOf(p.service)
	if p.shouldTakeLock(lock, now) {
		p.storeSync.tokensAt = now + tokensInterval
		if _, err := p.takeLock(ctx, lock); err != nil {
			p.backOff(attemptBackoff)
		}
	}
	if p.syncGroupDue(p.registry.LockOf(p.service), now) {
		p.writeSyncGroup(ctx)
	}
}

// mayReport reports whether this host may report the primary: it is a voter, or
// nobody has reported yet. The first report makes voters without traffic probe
// the primary.
func (p *Promoter) mayReport(dead string) bool {
	return p.set.IsVoter() || len(p.registry.HostsReportingDead(p.service, dead)) == 0
}

// report replaces this host's report in the store. An empty ID withdraws it.
func (p *Promoter) report(ctx context.Context, dead string) {
	epoch := p.registry.Epoch()
	if reported := p.reportedPrimary(); reported != "" {
		if err := p.registry.Trust(ctx, p.service, reported); err != nil {
			eventlog.GroupCommandFailed.Warn(p.log).Err(err).Str("order", "take a report back").Send()
			return
		}
		p.storeSync.reported = ""
	}
	if dead == "" {
		return
	}
	if err := p.registry.Suspect(ctx, p.service, dead); err != nil {
		eventlog.GroupCommandFailed.Warn(p.log).Err(err).Str("order", "report a dead primary").Send()
		return
	}
	eventlog.PrimaryReportedDead.Info(p.log).Str("upstream", dead).Send()
	p.storeSync.reported, p.storeSync.reportedEpoch = dead, epoch
}

// vacantLockDue reports whether this host should take a lock that has no holder,
// or renew its own lock whose token it does not know, because it restarted or the
// store's answer was lost.
func (p *Promoter) vacantLockDue(lock succession.Lock, now time.Duration) bool {
	p.mu.Lock()
	stale := lock.Holder == p.host && lock.Token() != p.newestToken
	p.mu.Unlock()
	if !stale && (lock.Holder != "" || p.takeoverRank("") > 0) {
		p.storeSync.vacantSince = 0
		return false
	}
	if p.storeSync.vacantSince == 0 {
		p.storeSync.vacantSince = now
	}
	return now-p.storeSync.vacantSince >= vacantLockDelay
}
