package promoter

import (
	"context"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// syncGroupCheckInterval is the minimum time between two checks whether members that are
// gone can be taken out of the record. Each occupies a slot of each member.
const syncGroupCheckInterval = 500 * time.Millisecond

// syncGroupCatchUpTimeout bounds the wait, in such a check, until replicas have what the
// primary had. While callers write, they are always some ten milliseconds behind.
const syncGroupCatchUpTimeout = 400 * time.Millisecond

// registeredMembers returns the sorted IDs of the members in the directory.
func (p *Promoter) registeredMembers() []string {
	var out []string
	for _, m := range p.set.Members() {
		out = append(out, m.ID())
	}
	slices.Sort(out)
	return out
}

// syncGroupDue reports whether this host should write the record of the group's members.
// Only the lock holder writes it. The first record needs a primary to name, and members are
// taken out only while it answers. It is called with storeMu held.
func (p *Promoter) syncGroupDue(lock succession.Lock, now time.Duration) bool {
	if lock.Holder != p.host || p.spec().SyncReplicas == 0 || now < p.storeSync.syncGroupCheckAt {
		return false
	}
	primary, err := p.assumedPrimary()
	hasPrimary := err == nil && !primary.Dead(now)
	record, registered := p.registry.SyncGroup(p.service), p.registeredMembers()
	return record.Lacks(registered) && (hasPrimary || len(record.Members) > 0) || record.HasGone(registered) && hasPrimary
}

// writeSyncGroup adds the registered members to the record and takes out those that are
// gone, if the others have all that they may have received. It is called with storeMu held.
func (p *Promoter) writeSyncGroup(ctx context.Context) {
	p.storeSync.syncGroupCheckAt = clock.Now() + syncGroupCheckInterval
	record, registered := p.registry.SyncGroup(p.service), p.registeredMembers()
	members := record.With(registered)
	if record.HasGone(registered) && p.goneMayBeForgotten(ctx) {
		members = registered
	}
	if slices.Equal(members, record.Members) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	if err := p.registry.RecordSyncGroup(ctx, p.service, members, record); err != nil {
		eventlog.GroupCommandFailed.Info(p.log).Err(err).Str("order", "record members").Send()
		return
	}
	eventlog.SyncGroupRecorded.Info(p.log).Strs("upstreams", members).Strs("was", record.Members).Send()
}

// goneMayBeForgotten asks the primary for its log, and the replicas until they have as much.
func (p *Promoter) goneMayBeForgotten(ctx context.Context) bool {
	primary, err := p.assumedPrimary()
	if err != nil {
		return false
	}
	newestTerm := p.set.Term()
	status, err := p.set.Status(ctx, primary)
	if err != nil {
		// The next check asks again.
		p.log.Debug().Err(err).Str("upstream", primary.ID()).Msg("primary did not report its log")
		return false
	}
	for deadline := clock.Now() + syncGroupCatchUpTimeout; clock.Now() < deadline && ctx.Err() == nil; clock.Sleep(ctx, catchUpPollInterval) {
		replicas := p.sendControlToReplicas(ctx, primary.ID(), sameOperation(statement.Operation{Verb: statement.ReportStatus}))
		if succession.GoneMayBeForgotten(status, replicas, newestTerm, p.spec().SyncReplicas) {
			return true
		}
	}
	return false
}

// recordWithheld keeps the reason of a promotion that was withheld, and logs it if it has
// changed. Any other result clears it.
func (p *Promoter) recordWithheld(err error) {
	reason := ""
	if err != nil && isWithheld(err) {
		reason = err.Error()
	}
	p.mu.Lock()
	changed := reason != p.withheld
	p.withheld = reason
	p.mu.Unlock()
	if changed && reason != "" {
		eventlog.PromotionWithheld.Warn(p.log).Str("reason", reason).Send()
	}
}

// Withheld returns why this host's latest promotion was withheld; empty if it was not.
func (p *Promoter) Withheld() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.withheld
}
