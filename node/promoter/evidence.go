package promoter

import (
	"context"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// suspensionThreshold is the time between two checks above which this process is
// assumed to have been suspended. It exceeds several check intervals and pauses
// from CPU quotas.
const suspensionThreshold = 300 * time.Millisecond

// wasSuspended reports whether this process did not run for a while since the
// last check. It received no answers meanwhile, so the lack of answers is no
// evidence that a member failed.
func (p *Promoter) wasSuspended(now time.Duration) bool {
	last := time.Duration(p.lastCheck.Load())
	return last > 0 && now-last > suspensionThreshold
}

// findDeadPrimary returns the ID of the primary if this host considers it dead,
// noPrimary if the group has had no primary for noPrimaryTimeout, and otherwise the
// empty string.
func (p *Promoter) findDeadPrimary(now time.Duration) string {
	id, found := p.set.AssumedPrimary()
	if !found {
		if len(p.set.Members()) == 0 {
			p.noPrimarySince = 0
			return ""
		}
		if p.noPrimarySince == 0 {
			p.noPrimarySince = now
		}
		if now-p.noPrimarySince >= noPrimaryTimeout {
			return noPrimary
		}
		return ""
	}
	p.noPrimarySince = 0
	// One that does not answer may be dead before a request to it has failed.
	if m, known := p.set.Member(id); known && m.Dead(now) && !p.set.ObserveUnreachable(m) {
		return id
	}
	return ""
}

// recordDeadPrimary records which primary this host considers dead, for other hosts and
// the store.
func (p *Promoter) recordDeadPrimary(id string, now time.Duration) {
	incarnation := p.incarnationOf(id)
	p.mu.Lock()
	changed := incarnation != p.deadIncarnation
	if changed {
		p.deadIncarnation, p.deadSince = incarnation, now
	}
	p.mu.Unlock()
	if changed && incarnation != "" {
		eventlog.PrimaryBelievedDead.Info(p.log).Str("upstream", id).Dur("alive_ms_ago", p.sinceLastAlive(id, now)).Send()
	}
}

// sinceLastAlive returns the age of the newest evidence that a member is alive;
// zero if there is none.
func (p *Promoter) sinceLastAlive(id string, now time.Duration) time.Duration {
	if m, known := p.set.Member(id); known && m.LastSuccess() > 0 {
		return now - m.LastSuccess()
	}
	return 0
}

// incarnationOf returns the current incarnation of a member, which keeps reports
// about an earlier one from counting against it. It returns an unknown ID, such
// as noPrimary, unchanged.
func (p *Promoter) incarnationOf(id string) string {
	if m, known := p.set.Member(id); known {
		return m.Incarnation()
	}
	return id
}

// suspectedByPeer reports whether another host has recently asked about the primary.
func (p *Promoter) suspectedByPeer(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now < p.suspectedByPeerUntil
}

// primarySuspected reports whether the primary may be dead: this host suspects
// it, or another host has reported it as dead in the store.
//
// Every host sees a report in the store, but only the voters and the lock holder
// act on it. If all hosts of a large fleet asked the holder about the primary,
// they would overload it while it leads the promotion.
func (p *Promoter) primarySuspected(now time.Duration) bool {
	id, found := p.set.AssumedPrimary()
	if !found {
		// The members of a newly declared group may not be registered yet.
		return len(p.set.Members()) > 0
	}
	m, known := p.set.Member(id)
	return !known || m.Suspect(now) || (p.actsOnReports() && len(p.registry.HostsReportingDead(p.service, m.Incarnation())) > 0)
}

// actsOnReports reports whether this host reacts to other hosts' reports of a
// dead primary.
func (p *Promoter) actsOnReports() bool {
	return p.set.IsVoter() || p.registry.LockOf(p.service).Holder == p.host
}

// updatePeerConfirmation tells the failure detector whether other hosts also
// consider the primary dead; with their confirmation it needs less evidence.
func (p *Promoter) updatePeerConfirmation(now time.Duration) {
	id, found := p.set.AssumedPrimary()
	if !found {
		return
	}
	m, known := p.set.Member(id)
	if !known {
		return
	}
	otherHosts := slices.DeleteFunc(p.suspectingHosts(m.Incarnation(), now), func(host string) bool { return host == p.host })
	m.SetConfirmedByPeers(len(otherHosts) > 0)
}

// suspectingHosts returns the hosts that have reported a primary as dead,
// directly or in the store.
func (p *Promoter) suspectingHosts(incarnation string, now time.Duration) []string {
	p.mu.Lock()
	hosts := succession.HostsSuspecting(p.peerReports.Current(incarnation, now))
	p.mu.Unlock()
	if !p.features.Enabled(feature.DirectVotes) {
		hosts = nil
	}
	for _, host := range p.registry.HostsReportingDead(p.service, incarnation) {
		if !slices.Contains(hosts, host) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// majorityConsidersDead reports whether a majority of the voters considers the
// primary dead.
func (p *Promoter) majorityConsidersDead(id string, now time.Duration) bool {
	suspecting := p.suspectingHosts(p.incarnationOf(id), now)
	if !slices.Contains(suspecting, p.host) {
		suspecting = append(suspecting, p.host)
	}
	return succession.MajoritySuspects(suspecting, p.voters())
}

func (p *Promoter) voters() []string {
	return succession.Voters(p.service, p.registry.Hosts())
}

const (
	// probeInterval is the minimum time between two probes of a suspected
	// primary.
	probeInterval = 60 * time.Millisecond
	// aliveEvidenceTTL is how long an answer of the primary makes further probes
	// unnecessary. Each probe occupies a slot of the primary, so nine voters must not
	// probe continuously.
	aliveEvidenceTTL = 300 * time.Millisecond
)

// probeSuspect probes a suspected primary until it is known to be alive or dead.
// A voter that sends the primary no statements has no other evidence to base its
// vote on.
func (p *Promoter) probeSuspect(ctx context.Context, now time.Duration) {
	id, found := p.set.AssumedPrimary()
	if !found || now-p.probedAt < probeInterval || !p.set.IsVoter() {
		return
	}
	m, known := p.set.Member(id)
	answered := now-m.LastSuccess() < aliveEvidenceTTL && !p.set.LossReported(id)
	if !known || m.Dead(now) || answered {
		return
	}
	p.probedAt = now
	p.set.CheckLiveness(ctx, m)
}
