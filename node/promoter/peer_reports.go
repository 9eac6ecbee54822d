package promoter

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

const (
	// peerReportTimeout bounds the wait for a report. It covers a few round trips
	// between regions and scheduling delay on a busy host.
	peerReportTimeout = 150 * time.Millisecond
	// peerReportInterval is the minimum time between two requests to one host.
	peerReportInterval = 60 * time.Millisecond
	// peerSuspicionTTL is how long a request from another host keeps the primary
	// under suspicion. It spans several requests of a host that repeats them.
	peerSuspicionTTL = 400 * time.Millisecond
	// holderQueryLead is how long before it may take the lock for a switchover a host
	// begins to ask the holder whether it leads one. It allows for lost datagrams.
	holderQueryLead = 2 * peerReportTimeout
)

// requestPeerReports asks other hosts about a suspected primary.
//
// The lock holder asks the voters as soon as it suspects the primary, so that
// their reports are available once it considers the primary dead. Other hosts
// alert the holder by asking it for its report, and ask the voters only when they
// may soon have to take over. A host that does not suspect the primary itself and
// was only asked about it asks no others unless it holds the lock; otherwise
// requests would circulate endlessly.
func (p *Promoter) requestPeerReports(ctx context.Context, now time.Duration, suspected, dead bool) {
	incarnation := p.currentPrimary()
	lock := p.registry.LockOf(p.service)
	if lock.Holder == p.host {
		p.requestPeerReportsFrom(ctx, now, incarnation, p.voters())
		return
	}
	if lock.Holder != "" && suspected {
		p.requestPeerReportsFrom(ctx, now, incarnation, []string{lock.Holder})
	}
	if dead && (lock.Holder == "" || now >= p.takeoverPreparationStart()) {
		p.requestPeerReportsFrom(ctx, now, incarnation, p.voters())
	}
}

// takeoverPreparationStart returns when hosts other than the lock holder start to
// collect the voters' reports, early enough to have them at takeover time.
func (p *Promoter) takeoverPreparationStart() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.deadSince, p.leaderSeenAt) + succession.TakeoverDelay - peerReportTimeout
}

// currentPrimary returns the incarnation of the primary that this host knows, or
// noPrimary.
func (p *Promoter) currentPrimary() string {
	id, found := p.set.AssumedPrimary()
	if !found {
		return noPrimary
	}
	return p.incarnationOf(id)
}

// requestPeerReportsFrom asks the given hosts, except those asked within
// peerReportInterval. It does not wait for answers.
func (p *Promoter) requestPeerReportsFrom(ctx context.Context, now time.Duration, incarnation string, hosts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, host := range hosts {
		if host == p.host || now-p.requestedAt[host] < peerReportInterval {
			continue
		}
		p.requestedAt[host] = now
		go p.requestPeerReport(ctx, incarnation, host)
	}
}

func (p *Promoter) requestPeerReport(ctx context.Context, incarnation, host string) {
	ctx, cancel := context.WithTimeout(ctx, peerReportTimeout)
	defer cancel()
	sentAt := clock.Now()
	report, answered := p.peers.RequestPeerReport(ctx, p.service, incarnation, host)
	if !answered {
		return
	}
	p.mu.Lock()
	p.peerReports.Record(incarnation, report, sentAt)
	if report.Leading {
		p.leaderSeenAt = max(p.leaderSeenAt, sentAt)
	}
	p.mu.Unlock()
	if report.Settled > 0 && p.registry.LockOf(p.service).Holder == host {
		p.peers.ObserveSettled(p.service, report.Settled, report.SettledTerm, sentAt)
	}
	p.Wake()
}

// PeerReport answers another host's request for a report on a primary. If this host does
// not consider the primary dead, it starts a check of its own.
func (p *Promoter) PeerReport(ctx context.Context, incarnation string) succession.PeerReport {
	now := clock.Now()
	p.mu.Lock()
	p.suspectedByPeerUntil = now + peerSuspicionTTL
	p.mu.Unlock()
	report := succession.PeerReport{
		Host: p.host, StoreReached: !p.registry.StoreUnreachable(), Lock: p.registry.LockOf(p.service).Token(),
		Dead: p.considersDead(incarnation, now) && !p.wasSuspended(now), Reaches: p.reaches(incarnation, now), Leading: p.leading.Load(),
		Settled: p.settledToken(), SettledTerm: p.set.Term(),
	}
	if !report.Dead {
		p.Wake()
	}
	return report
}

// reaches reports whether a primary has recently answered this host, so that
// other hosts may forward statements through it.
func (p *Promoter) reaches(incarnation string, now time.Duration) bool {
	m, known := p.memberByIncarnation(incarnation)
	return known && m.Reachable(now)
}

// memberByIncarnation returns the member whose current incarnation has that name.
func (p *Promoter) memberByIncarnation(incarnation string) (*replicaset.Member, bool) {
	for _, m := range p.set.Members() {
		if m.Incarnation() == incarnation {
			return m, true
		}
	}
	return nil, false
}

// considersDead reports whether this host considers a primary dead.
func (p *Promoter) considersDead(incarnation string, now time.Duration) bool {
	if incarnation == noPrimary {
		_, found := p.set.AssumedPrimary()
		return !found
	}
	m, known := p.memberByIncarnation(incarnation)
	return known && m.Dead(now)
}
