package promoter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

var (
	errNoCandidate = errors.New("too few replicas answered to choose one")
	errRecovered   = errors.New("the primary answers again")
	errNotSeen     = errors.New("the new primary did not show in time")
)

const (
	// surveyTries is how often the replicas are asked before it is given up.
	surveyTries = 3
	// showTime bounds the wait for a promoted member to lead; the deployments'
	// members take 300 to 1000 ms.
	showTime = 2500 * time.Millisecond
	showPoll = 20 * time.Millisecond
	// pollsPerProbe is how many looks there are for one probe of the member, which
	// takes one of its slots for a moment.
	pollsPerProbe = 3
)

// replace promotes the replica that has received most, in place of a primary
// that is dead.
func (p *Promoter) replace(ctx context.Context, failed string, token uint64) error {
	reports, err := p.survey(ctx, failed)
	if err != nil {
		p.resume(ctx, reports)
		return err
	}
	if id, found := p.set.BelievedPrimary(); found && id != failed {
		p.resume(ctx, reports)
		return errRecovered
	}
	if m, known := p.set.Member(failed); known && !m.Dead(clock.Now()) {
		p.resume(ctx, reports)
		return errRecovered
	}
	chosen, ok := succession.ChooseCandidate(reports, p.replicas(failed), p.spec().SyncReplicas)
	if !ok {
		p.resume(ctx, reports)
		return errNoCandidate
	}
	if err := p.promote(ctx, chosen, token); err != nil {
		p.resume(ctx, reports)
		return err
	}
	return nil
}

// replicas counts the members besides the one that failed.
func (p *Promoter) replicas(failed string) int {
	count := 0
	for _, m := range p.set.Members() {
		if m.ID() != failed {
			count++
		}
	}
	return count
}

// survey stops the replicas from receiving and asks what they have, so that what
// is compared cannot change any more. The order to stop is the question as well:
// asking for the newest term first cost a trip between regions and a turn in each
// replica's queue, 40 of the 190 ms between agreement and the platform's call.
func (p *Promoter) survey(ctx context.Context, failed string) ([]succession.Report, error) {
	var reports []succession.Report
	leading := map[string]bool{}
	newest := p.set.Term()
	for range surveyTries {
		term := newest + 1
		asked := p.askReplicas(ctx, failed, func(id string) statement.Operation { return halt(leading[id], term) })
		reports = nil
		for _, r := range asked {
			newest = max(newest, r.Status.Term)
			if r.Status.Primary && !p.set.LostLog(r.ID, r.Status) {
				return asked, errRecovered
			}
			// An order of a term that the member knows already changes nothing.
			stopped := r.Status.PausedTerm >= term || leading[r.ID]
			if stopped && !r.Status.Primary {
				reports = append(reports, r)
			}
			leading[r.ID] = r.Status.Primary
		}
		if _, ok := succession.ChooseCandidate(reports, p.replicas(failed), p.spec().SyncReplicas); ok {
			return reports, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return reports, errNoCandidate
}

// halt returns the order that keeps a member's log as it is. A primary that has
// started again without its log steps down, so that a fuller one can follow it.
func halt(leads bool, term logpos.Term) statement.Operation {
	if leads {
		return statement.Operation{Verb: statement.StepDown, Term: term}
	}
	return statement.Operation{Verb: statement.PauseReplication, Term: term}
}

// always gives every member the same order.
func always(op statement.Operation) func(string) statement.Operation {
	return func(string) statement.Operation { return op }
}

// askReplicas sends an order to each member but one and collects the answers.
func (p *Promoter) askReplicas(ctx context.Context, failed string, order func(id string) statement.Operation) []succession.Report {
	members := p.set.Members()
	answers := make(chan answer, len(members))
	asked := 0
	for _, m := range members {
		if m.ID() == failed {
			continue
		}
		asked++
		go func() {
			st, err := p.set.SendControl(ctx, m, order(m.ID()))
			if err != nil {
				eventlog.OrderFailed.Info(p.log).Err(err).Str("upstream", m.ID()).Str("order", "survey").Send()
			}
			answers <- answer{report: succession.Report{ID: m.ID(), Leaving: m.Leaving(), Status: st}, failed: err != nil}
		}()
	}
	return gather(answers, asked, p.spec().SyncReplicas == 0)
}

// resume lets paused replicas receive again.
func (p *Promoter) resume(ctx context.Context, reports []succession.Report) {
	for _, r := range reports {
		if m, known := p.set.Member(r.ID); known {
			if _, err := p.set.SendControl(ctx, m, statement.Operation{Verb: statement.ResumeReplication}); err != nil {
				eventlog.OrderFailed.Warn(p.log).Err(err).Str("upstream", r.ID).Str("order", "resume").Send()
			}
		}
	}
}

// promote orders a promotion and waits until the member leads.
func (p *Promoter) promote(ctx context.Context, chosen succession.Report, token uint64) error {
	began := clock.Now()
	eventlog.PromotionOrdered.Info(p.log).Str("upstream", chosen.ID).Uint64("token", token).Stringer("received", chosen.Status.Received).Send()
	if err := p.call(ctx, chosen.ID, token); err != nil {
		return err
	}
	if err := p.awaitLead(ctx, chosen.ID); err != nil {
		return err
	}
	if p.without.Enabled(mechanism.Announcement) {
		p.peers.Announce(p.service, chosen.ID, p.set.Term())
	}
	eventlog.Promoted.Info(p.log).Str("upstream", chosen.ID).Uint64("token", token).
		Stringer("received", chosen.Status.Received).Dur("took", clock.Now()-began).Send()
	return nil
}

// awaitLead waits until a member that was promoted leads. The store's news tell,
// and the member itself, which is asked because the store may be away.
func (p *Promoter) awaitLead(ctx context.Context, id string) error {
	m, known := p.set.Member(id)
	if !known {
		return fmt.Errorf("%w: %s", errNotSeen, id)
	}
	began := clock.Now()
	for tick := 0; clock.Now() < began+showTime && ctx.Err() == nil; tick++ {
		if p.leads(id) {
			return nil
		}
		if tick%pollsPerProbe == 0 {
			p.set.RequestStatus(ctx, m)
		}
		clock.Sleep(ctx, showPoll)
	}
	return fmt.Errorf("%w: %s", errNotSeen, id)
}

func (p *Promoter) leads(id string) bool {
	now, found := p.set.BelievedPrimary()
	return found && now == id
}

const (
	// closeEnough is how many entries a replica may be behind when the primary
	// is told to step down: what it receives within its usual lag.
	closeEnough logpos.Offset = 20
	// catchUpTime bounds the wait for a replica to come close.
	catchUpTime = 2500 * time.Millisecond
	// drainTime bounds the wait, after the step down, for a replica to hold
	// the whole log.
	drainTime = 1500 * time.Millisecond
	catchPoll = 30 * time.Millisecond
)

// handoverDue reports whether the primary leaves and another member stays.
func (p *Promoter) handoverDue() bool {
	id, found := p.set.BelievedPrimary()
	if !found {
		return false
	}
	m, known := p.set.Member(id)
	if !known || !m.Leaving() {
		return false
	}
	for _, other := range p.set.Members() {
		if other.ID() != id && !other.Leaving() && !other.Failing() {
			return true
		}
	}
	return false
}

// handOver moves the lead from a primary that leaves to a replica that holds
// its whole log, so that nothing is rolled back.
func (p *Promoter) handOver(ctx context.Context, token uint64) error {
	id, found := p.set.BelievedPrimary()
	if !found {
		return errRecovered
	}
	old, known := p.set.Member(id)
	if !known {
		return errRecovered
	}
	p.awaitClose(ctx, old)
	st, err := p.set.SendControl(ctx, old, statement.Operation{Verb: statement.StepDown, Term: p.set.Term() + 1})
	if err != nil {
		return err
	}
	chosen, whole := p.awaitWhole(ctx, id, st.Received)
	if !whole {
		// Nobody holds the whole log: the old primary leads on, and a later
		// attempt may find a replica that has caught up.
		chosen = succession.Report{ID: id, Status: st}
	}
	return p.promote(ctx, chosen, token)
}

// awaitClose waits until some staying replica is close behind the primary.
func (p *Promoter) awaitClose(ctx context.Context, old *replicaset.Member) {
	until := clock.Now() + catchUpTime
	for clock.Now() < until && ctx.Err() == nil {
		lead, err := p.set.Status(ctx, old)
		if err == nil {
			for _, r := range p.staying(ctx, old.ID()) {
				if r.Status.Received.Offset+closeEnough >= lead.Received.Offset {
					return
				}
			}
		}
		time.Sleep(catchPoll)
	}
}

// awaitWhole waits until some staying replica holds the log up to the end.
func (p *Promoter) awaitWhole(ctx context.Context, old string, end logpos.Position) (succession.Report, bool) {
	until := clock.Now() + drainTime
	for clock.Now() < until && ctx.Err() == nil {
		for _, r := range p.staying(ctx, old) {
			if r.Status.Received.Compare(end) >= 0 {
				return r, true
			}
		}
		time.Sleep(catchPoll)
	}
	return succession.Report{}, false
}

// staying asks the replicas that do not leave for their status.
func (p *Promoter) staying(ctx context.Context, old string) []succession.Report {
	var out []succession.Report
	for _, r := range p.askReplicas(ctx, old, always(statement.Operation{Verb: statement.ReportStatus})) {
		if !r.Leaving {
			out = append(out, r)
		}
	}
	return out
}
