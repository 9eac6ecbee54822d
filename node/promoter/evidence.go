package promoter

import (
	"context"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

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
	id, found := p.set.BelievedPrimary()
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
	if m, known := p.set.Member(id); known && m.LastSuccess() > 0 {
		return now - m.LastSuccess()
	}
	return 0
}

// life names the present life of a member, so that what is said of an earlier
// one does not count against it.
func (p *Promoter) life(id string) string {
	if m, known := p.set.Member(id); known {
		return m.Incarnation()
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
//
// Load pattern: the store tells a report to the whole fleet. Only the voters and
// the holder of the lock heed it; were all 300 hosts to ask the holder on hearsay,
// it would answer 5,000 datagrams a second, on a fifth of a core, while it leads
// the promotion.
func (p *Promoter) doubted(now time.Duration) bool {
	id, found := p.set.BelievedPrimary()
	if !found {
		// A group without members has just become known; its members come next.
		return len(p.set.Members()) > 0
	}
	m, known := p.set.Member(id)
	return !known || m.Suspect(now) || (p.heedsReports() && len(p.registry.Suspecting(p.service, m.Incarnation())) > 0)
}

// heedsReports reports whether this host acts on what others say of a primary.
func (p *Promoter) heedsReports() bool {
	return p.set.IsVoter() || p.registry.LockOf(p.service).Holder == p.host
}

// corroborate passes on whether other hosts have lost the primary as well.
func (p *Promoter) corroborate(now time.Duration) {
	id, found := p.set.BelievedPrimary()
	if !found {
		return
	}
	m, known := p.set.Member(id)
	if !known {
		return
	}
	others := slices.DeleteFunc(p.suspecting(m.Incarnation(), now), func(host string) bool { return host == p.host })
	m.SetCorroborated(len(others) > 0)
}

// suspecting returns the hosts that have said, directly or in the store, that
// they have lost a primary.
func (p *Promoter) suspecting(life string, now time.Duration) []string {
	p.mu.Lock()
	told := succession.HostsSuspecting(p.opinions.Current(life, now))
	p.mu.Unlock()
	if !p.without.Enabled(mechanism.DirectVotes) {
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
	return succession.MajoritySuspects(suspecting, p.voters())
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
	id, found := p.set.BelievedPrimary()
	if !found || now-p.verifiedAt < verifyInterval || !p.set.IsVoter() {
		return
	}
	m, known := p.set.Member(id)
	if !known || m.Dead(now) || now-m.LastSuccess() < provenFor {
		return
	}
	p.verifiedAt = now
	p.set.CheckLiveness(ctx, m)
}
