package promoter

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// What a promotion leaves behind: members that are paused, hosts that hold commits, and calls
// to the platform that may be executed late. The host that leads it ends them. If it cannot,
// because it has died, has been frozen or got no answer, the next holder of the lock does.

// recheckInterval is the minimum time between two questions to a member that may be paused
// and does not answer.
const recheckInterval = 2 * time.Second

var (
	errNothingToSettleOn = errors.New("no member acts as the primary")
	errPrimaryLost       = errors.New("the primary was lost meanwhile")
	errNoToken           = errors.New("the lock has not been written again for a new token yet")
)

// unsettled reports whether an earlier promotion may still take effect: this host holds
// commits for it, or it is the lock's holder and does not know how the promotion ended.
func (p *Promoter) unsettled() bool {
	if token, _ := p.peers.CommitHold(p.service); token > 0 {
		return true
	}
	lock := p.registry.LockOf(p.service)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unsettledSince > 0 && lock.Holder == p.host && lock.Token() == p.newestToken
}

// settledToken returns the token up to which promotions have ended, if this host holds the
// lock and knows that; zero otherwise.
func (p *Promoter) settledToken() uint64 {
	lock := p.registry.LockOf(p.service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if lock.Holder != p.host || lock.Token() != p.newestToken || p.leading.Load() || p.unsettledSince > 0 {
		return 0
	}
	return p.tokens.Taken()
}

// settle ends what earlier promotions have left behind while the group has a primary.
func (p *Promoter) settle(ctx context.Context, lockToken uint64) error {
	held, _ := p.peers.CommitHold(p.service)
	p.mu.Lock()
	s := succession.Settlement{Pending: p.unansweredToken > 0, Held: held, Since: p.unsettledSince}
	p.mu.Unlock()
	s.Synced = p.spec().SyncReplicas > 0
	var primary string
	var paused []succession.CandidateStatus
	lastErr := errNothingToSettleOn
	for ctx.Err() == nil && !p.lockLost(lockToken) {
		switch s.Next(clock.Now()) {
		case succession.AskMembers:
			primary, paused = p.askMembers(ctx)
			s.ObserveMembers(primary != "", len(paused)+len(p.unchecked) > 0)
		case succession.RaiseFence:
			token, fresh := p.takeFreshToken()
			if !fresh {
				return errNoToken
			}
			err := p.raiseFence(ctx, primary, token)
			if tokenRefused(err) {
				return err
			}
			s.ObserveFence(err == nil)
			if err != nil {
				lastErr = err
			}
		case succession.AwaitPromotion:
			if !p.awaitPromotion(ctx, primary) {
				return errPrimaryLost
			}
			s.ObserveWait()
		case succession.ResumeReplicas:
			p.resume(ctx, paused)
			p.markSettled()
			eventlog.GroupSettled.Info(p.log).Str("upstream", primary).Int("resumed", len(paused)).Send()
			return nil
		case succession.GiveUp:
			return lastErr
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errLockLost
}

// awaitPromotion waits until a promotion that the platform has executed would show. It returns
// false at once if the primary is lost, which must not wait.
func (p *Promoter) awaitPromotion(ctx context.Context, primary string) bool {
	for end := clock.Now() + succession.PromotionVisible; clock.Now() < end; {
		if m, known := p.set.Member(primary); !known || m.Dead(clock.Now()) || !clock.Sleep(ctx, suspectCheckInterval) {
			return false
		}
	}
	return true
}

// askMembers returns the primary and the replicas that are paused. Members that do not answer
// are asked again later.
func (p *Promoter) askMembers(ctx context.Context) (primary string, paused []succession.CandidateStatus) {
	unchecked := map[string]bool{}
	for _, m := range p.set.Members() {
		unchecked[m.ID()] = true
	}
	answers := p.sendControlToReplicas(ctx, "", sameOperation(statement.Operation{Verb: statement.ReportStatus}))
	var newest succession.CandidateStatus
	for _, r := range answers {
		delete(unchecked, r.ID)
		switch {
		case r.Status.Primary && !p.set.LogLost(r.ID) && r.Status.Term >= newest.Status.Term:
			newest = r
		case !r.Status.Primary && r.Status.PausedTerm > 0:
			paused = append(paused, r)
		}
	}
	p.unchecked, p.recheckAt = unchecked, clock.Now()+recheckInterval
	return newest.ID, paused
}

// raiseFence makes the platform refuse all calls with older tokens. The call promotes the
// present primary, which changes nothing else.
func (p *Promoter) raiseFence(ctx context.Context, primary string, token uint64) error {
	return p.callUntilAnswered(ctx, primary, token, func() bool { return false })
}

// fenceBeforeStepDown makes the platform refuse the calls of earlier promotions that may
// still be executed, before the primary steps down for the next one. It returns the token for
// that one. A call that is executed after the step-down would let the old primary acknowledge
// commits that the next one lacks.
func (p *Promoter) fenceBeforeStepDown(ctx context.Context, primary string, token uint64) (uint64, error) {
	if !p.mayHaveLateCalls() {
		return token, nil
	}
	next, fresh := p.takeFreshToken()
	if !fresh {
		// The call that promotes the next primary fences them off, too.
		return token, nil
	}
	err := p.raiseFence(ctx, primary, token)
	if err != nil && !tokenRefused(err) {
		eventlog.GroupCommandFailed.Warn(p.log).Err(err).Str("order", "raise fence").Uint64("token", token).Send()
		return next, nil
	}
	return next, err
}

// mayHaveLateCalls reports whether calls of earlier promotions may still be executed: this
// host has had no answer to one, or nothing is known of those of earlier holders of the lock.
func (p *Promoter) mayHaveLateCalls() bool {
	synced := p.spec().SyncReplicas > 0
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unansweredToken > 0 || synced && p.unfenced
}

// recheckDue reports whether members that may be paused should be asked again. It is called
// with checkMu held.
func (p *Promoter) recheckDue(now time.Duration) bool {
	return len(p.unchecked) > 0 && now >= p.recheckAt && p.registry.LockOf(p.service).Holder == p.host
}

// resumePaused asks the members that have not answered since a promotion, and resumes those
// that are paused. It is called with checkMu held.
func (p *Promoter) resumePaused(ctx context.Context) {
	p.recheckAt = clock.Now() + recheckInterval
	for id := range p.unchecked {
		m, known := p.set.Member(id)
		if !known {
			delete(p.unchecked, id)
			continue
		}
		st, err := p.set.Status(ctx, m)
		if err != nil {
			continue
		}
		delete(p.unchecked, id)
		if !st.Primary && st.PausedTerm > 0 {
			p.resume(ctx, []succession.CandidateStatus{{ID: id, Status: st}})
		}
	}
}

// abandon ends a promotion that was not ordered, or was refused. If it, or an earlier one, may
// still take effect, replicas stay paused and commits held until that is settled. After the loss of the
// lock both are the new holder's.
func (p *Promoter) abandon(ctx context.Context, reports []succession.CandidateStatus, token uint64) {
	if p.lockLost(token) {
		// A replica may have got the order to pause after the new holder has resumed it.
		p.suspectPausedReplicas()
		return
	}
	p.mu.Lock()
	pending := p.unansweredToken > 0 || p.unsettledSince > 0
	taken := p.tokens.Taken()
	p.mu.Unlock()
	if pending && p.spec().SyncReplicas > 0 {
		return
	}
	p.resume(ctx, reports)
	// A replica whose answer was late may be paused, too.
	p.unchecked, p.recheckAt = map[string]bool{}, clock.Now()+recheckInterval
	for _, m := range p.set.Members() {
		p.unchecked[m.ID()] = true
	}
	p.announceSettled(taken)
}

// endedByPromotion records that a promotion has taken effect, which resumes all replicas.
func (p *Promoter) endedByPromotion() {
	p.unchecked = nil
	p.markSettled()
}

// markSettled records that no earlier promotion can take effect. Calls without an answer may
// still be executed, but change nothing before the present primary is replaced.
func (p *Promoter) markSettled() {
	p.mu.Lock()
	p.unsettledSince = 0
	if p.unansweredToken > 0 {
		p.unsettledSince = clock.Now()
	}
	taken := p.tokens.Taken()
	p.mu.Unlock()
	p.announceSettled(taken)
}

// announceSettled ends the holds of all hosts, if the group has any.
func (p *Promoter) announceSettled(token uint64) {
	if p.spec().SyncReplicas > 0 {
		p.peers.AnnounceSettled(p.service, token, p.set.Term())
	}
}

const (
	// doubtInterval is the minimum time between two suspicions of paused replicas.
	doubtInterval = time.Second
	// doubtReportInterval is the minimum time between two messages about one.
	doubtReportInterval = 200 * time.Millisecond
)

// ObserveUnansweredCommit records that the primary has not answered a commit. While too few
// replicas receive, it answers none.
func (p *Promoter) ObserveUnansweredCommit() {
	if p.spec().SyncReplicas > 0 {
		p.suspectPausedReplicas()
	}
}

// suspectPausedReplicas has the lock's holder ask the members whether they are paused.
func (p *Promoter) suspectPausedReplicas() {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.doubtAt == 0 || now-p.doubtAt >= doubtInterval {
		p.doubt, p.doubtAt = true, now
	}
}

// doubtful reports whether the lock's holder is to be told of a suspicion.
func (p *Promoter) doubtful() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.doubt
}

// reportDoubt tells the lock's holder, or this host's own promoter, without waiting for an
// answer. It is repeated until there is one.
func (p *Promoter) reportDoubt(ctx context.Context, now time.Duration) {
	holder := p.registry.LockOf(p.service).Holder
	if holder == p.host {
		p.clearDoubt()
		p.ObserveUnsettled()
		return
	}
	p.mu.Lock()
	due := now-p.reportedAt >= doubtReportInterval
	if due {
		p.reportedAt = now
	}
	p.mu.Unlock()
	if !due || holder == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, peerReportTimeout)
		defer cancel()
		if p.peers.ReportUnsettled(ctx, p.service, holder) {
			p.clearDoubt()
		}
	}()
}

func (p *Promoter) clearDoubt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubt = false
}

// ObserveUnsettled records that an earlier promotion may have left replicas paused. It matters
// to the lock's holder only.
func (p *Promoter) ObserveUnsettled() {
	p.mu.Lock()
	if p.unsettledSince == 0 {
		p.unsettledSince = clock.Now()
	}
	p.mu.Unlock()
	p.Wake()
}
