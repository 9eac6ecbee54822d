package promoter

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// failingPrimaryDue reports whether the primary is to be replaced because it fails what it
// runs. It is called with checkMu held.
func (p *Promoter) failingPrimaryDue(now time.Duration) bool {
	if !p.features.Enabled(feature.FailingPrimary) {
		return false
	}
	primary, err := p.assumedPrimary()
	if err != nil {
		p.failing.ObservePrimary("", now)
		return false
	}
	p.failing.ObservePrimary(primary.Incarnation(), now)
	p.mu.Lock()
	leaderSeenAt := p.leaderSeenAt
	p.mu.Unlock()
	p.failing.ObserveLeader(p.host, p.registry.LockOf(p.service), leaderSeenAt, now)
	verdict := primary.Ejection(now)
	return verdict.Active(now) && p.mayReplaceFailing(primary) && p.failing.Due(verdict, p.healthyReplica(primary, now), now)
}

// mayReplaceFailing reports whether this host acts on a primary that fails what it runs.
// Gates of the primary and voters do, and the lock holder. If all hosts of a large fleet
// did, they would overload the holder with requests for its report.
func (p *Promoter) mayReplaceFailing(primary *replicaset.Member) bool {
	return primary.IsGate() || p.actsOnReports()
}

// healthyReplica reports whether a member other than the primary can take over.
func (p *Promoter) healthyReplica(primary *replicaset.Member, now time.Duration) bool {
	for _, m := range p.set.Members() {
		if m != primary && !m.Leaving() && !m.Failing() && !m.Dead(now) && !m.Ejection(now).Active(now) && !p.set.LogLost(m.ID()) {
			return true
		}
	}
	return false
}

// replaceFailing promotes a replica that has the complete log of a primary that fails what
// it runs. The primary is not asked to step down before a healthy replica is close.
func (p *Promoter) replaceFailing(ctx context.Context, token uint64) error {
	old, err := p.assumedPrimary()
	if err != nil {
		return err
	}
	if !p.failing.Leads(old.Incarnation()) {
		// The primary has changed while this host took the lock.
		return errRecovered
	}
	p.failing.RecordAttempt(clock.Now())
	eventlog.PrimaryFailing.Warn(p.log).Str("upstream", old.ID()).Uint64("token", token).Send()
	replicaClose, err := p.awaitCatchUp(ctx, old, func(r succession.CandidateStatus) bool { return !r.Ejected })
	switch {
	case err != nil:
		return err
	case !replicaClose:
		return errNoReplicaClose
	}
	p.surveyedAt = clock.Now()
	st, err := p.set.Status(ctx, old)
	if err != nil {
		return err
	}
	if !st.Primary {
		// Another host may have ordered the step-down and be about to promote a replica.
		return errNotPrimary
	}
	if end, bounded := ctx.Deadline(); bounded && time.Until(end) < fullLogTimeout+newPrimaryTimeout {
		return errTooLate
	}
	return p.handOver(ctx, old, token)
}
