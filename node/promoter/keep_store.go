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
	// reportAfter is how long a host has lost the primary before it says so in the
	// store: the hosts that reach each other have agreed by then, and the store
	// is spared a write a host.
	reportAfter = 300 * time.Millisecond
	// vacancyTime is how long a lock is seen without a holder before one takes it.
	// Load pattern: a fleet starts; each of its hosts knows only itself at first,
	// and would take the lock of every service.
	vacancyTime = time.Second
)

// storeKeeper is what the loop that writes to the store keeps for itself. It runs
// apart from the loop that acts, which must not wait for a store that is silent.
type storeKeeper struct {
	// reported is the primary that this host has reported as dead, in the store's
	// epoch reportedIn: a report of an earlier one does not count any more.
	reported   string
	reportedIn store.Epoch
	// vacantSince is since when this host is to take a lock that nobody holds.
	vacantSince time.Duration
}

// runKeeper tells the store what it is to be told, whenever Tick finds something,
// until the context ends.
func (p *Promoter) runKeeper(ctx context.Context) {
	for {
		select {
		case <-p.keep:
			p.keeping.Lock()
			p.keepStore(ctx)
			p.keeping.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// storeDue reports whether keepStore has anything to do. It is called with keeping
// held.
func (p *Promoter) storeDue(now time.Duration) bool {
	if p.registry.Away() {
		return false
	}
	return p.wordOn(now) != p.reported() || p.lockIsMine(p.registry.LockOf(p.service), now)
}

// wordOn returns the primary that this host is to report as dead now; empty for
// none.
func (p *Promoter) wordOn(now time.Duration) string {
	p.mu.Lock()
	lost, since := p.lost, p.lostSince
	p.mu.Unlock()
	if lost != "" && (now-since < reportAfter || !p.speaks(lost)) {
		return p.reported()
	}
	return lost
}

// reported returns the primary that this host has reported in the present epoch. It
// is called with keeping held.
func (p *Promoter) reported() string {
	if p.keeper.reported == "" || p.keeper.reportedIn != p.registry.Epoch() {
		return ""
	}
	return p.keeper.reported
}

// lockIsMine reports whether this host is to take the lock of a group that is
// calm.
func (p *Promoter) lockIsMine(lock succession.Lock, now time.Duration) bool {
	p.mu.Lock()
	quiet := now < p.quietUntil
	p.mu.Unlock()
	return !quiet && !p.leading.Load() && p.vacancyIsMine(lock, now)
}

// keepStore keeps this host's word on the primary in the store up to date, and
// sees that some host holds the lock. It is called with keeping held.
func (p *Promoter) keepStore(ctx context.Context) {
	if p.registry.Away() {
		return
	}
	now := clock.Now()
	if lost := p.wordOn(now); lost != p.reported() {
		p.report(ctx, lost)
	}
	lock := p.registry.LockOf(p.service)
	if p.lockIsMine(lock, now) {
		if _, err := p.takeLock(ctx, lock); err != nil {
			p.quiet(pauseAfterFailure)
		}
	}
}

// speaks reports whether this host's word on the primary is wanted: it votes, or
// is the first to find the primary dead. The voters may have no traffic of their
// own, and look once anyone has spoken.
func (p *Promoter) speaks(lost string) bool {
	return p.set.IsVoter() || len(p.registry.Suspecting(p.service, lost)) == 0
}

func (p *Promoter) report(ctx context.Context, lost string) {
	epoch := p.registry.Epoch()
	if reported := p.reported(); reported != "" {
		if err := p.registry.Trust(ctx, p.service, reported); err != nil {
			eventlog.OrderFailed.Warn(p.log).Err(err).Str("order", "take a report back").Send()
			return
		}
		p.keeper.reported = ""
	}
	if lost == "" {
		return
	}
	if err := p.registry.Suspect(ctx, p.service, lost); err != nil {
		eventlog.OrderFailed.Warn(p.log).Err(err).Str("order", "report a dead primary").Send()
		return
	}
	eventlog.PrimaryReported.Info(p.log).Str("upstream", lost).Send()
	p.keeper.reported, p.keeper.reportedIn = lost, epoch
}

// vacancyIsMine reports whether this host is to take a lock that nobody holds, or
// its own, if that is left over from before this host started or its answer was
// lost.
func (p *Promoter) vacancyIsMine(lock succession.Lock, now time.Duration) bool {
	p.mu.Lock()
	stale := lock.Holder == p.host && lock.Token() != p.token
	p.mu.Unlock()
	if !stale && (lock.Holder != "" || p.rank("") > 0) {
		p.keeper.vacantSince = 0
		return false
	}
	if p.keeper.vacantSince == 0 {
		p.keeper.vacantSince = now
	}
	return now-p.keeper.vacantSince >= vacancyTime
}
