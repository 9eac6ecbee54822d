package owner

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/request"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
	"github.com/dotterelswitch/dotterelswitch/node/watch"
)

// sqlStateReadOnly is what a member answers to a write that it may not run.
const sqlStateReadOnly = "25006"

// Execute runs one request on a member whose pool this host owns.
func (o *Owner) Execute(ctx context.Context, req *request.Request) *request.Response {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	defer o.runs.add(req.Sender, req.ID, cancel)()
	resp := o.execute(ctx, req)
	if resp.Refusal != nil || resp.Hint.Primary == "" {
		resp.Hint = o.hint(req.Service)
	}
	return resp
}

func (o *Owner) execute(ctx context.Context, req *request.Request) *request.Response {
	if !o.seen.add(req.Sender, req.ID) {
		return request.Refused(outcome.Refuse(outcome.UnknownOutcome, "the request was delivered twice"))
	}
	p, refusal := o.pool(ctx, req.Service, req.Upstream)
	if refusal != nil {
		return request.Refused(refusal)
	}
	if req.TransactionID != 0 {
		return o.continueTransaction(ctx, p, req)
	}
	if !p.begin() {
		return request.Refused(outcome.Refuse(outcome.Draining, "the pool of %s is being handed over", req.Upstream))
	}
	need := group.ReadRequirement{Token: req.MinPosition, Staleness: req.MaxStaleness, ArrivedAt: p.watcher.Now()}
	if refusal := o.eligible(ctx, p, req, need); refusal != nil {
		p.finish()
		return request.Refused(refusal)
	}
	resp := o.runNew(ctx, p, req, need)
	if resp.TransactionID == 0 {
		p.finish()
	}
	return resp
}

// eligible checks the member's role for a write, and its position for a read.
func (o *Owner) eligible(ctx context.Context, p *pool, req *request.Request, need group.ReadRequirement) *outcome.Refusal {
	if o.leaving(p.spec.Name) {
		return outcome.Refuse(outcome.Draining, "upstream %s is leaving", p.spec.Name)
	}
	if req.NeedsPrimary {
		return o.primaryNow(p)
	}
	verdict, primary := group.Unknown, false
	judge := func(v *group.View, _ time.Duration) bool {
		verdict = v.CanRead(p.spec.Name, need)
		st, found := v.Primary()
		primary = found && st.Member == p.spec.Name && !v.Failing(st.Member)
		return verdict == group.Eligible || verdict == group.Ahead || (primary && verdict != group.Unknown)
	}
	bounded, cancel := context.WithTimeout(ctx, req.CatchUpWait)
	defer cancel()
	p.watcher.Inspect(func(v *group.View, now time.Duration) { judge(v, now) })
	if verdict != group.Eligible && !primary {
		_ = p.watcher.Await(bounded, watch.ForFreshness, judge)
	}
	if primary && verdict != group.Ahead {
		return nil
	}
	return verdictRefusal(verdict, p.spec.Name)
}

func verdictRefusal(v group.ReadVerdict, member string) *outcome.Refusal {
	switch v {
	case group.Eligible:
		return nil
	case group.Ahead:
		return outcome.Refuse(outcome.TokenAhead, "")
	case group.Behind:
		return outcome.Refuse(outcome.BehindToken, "upstream %s", member)
	case group.Stale:
		return outcome.Refuse(outcome.TooStale, "upstream %s", member)
	default:
		return outcome.Refuse(outcome.WrongMember, "no primary of the group is known at upstream %s", member)
	}
}

// primaryNow refuses a write on a member that is not the primary.
func (o *Owner) primaryNow(p *pool) *outcome.Refusal {
	isPrimary := false
	p.watcher.Inspect(func(v *group.View, _ time.Duration) {
		st, found := v.CurrentPrimary()
		isPrimary = found && st.Member == p.spec.Name && !v.Failing(st.Member)
	})
	if !isPrimary {
		return outcome.Refuse(outcome.WrongMember, "upstream %s is not the primary", p.spec.Name)
	}
	return nil
}

// runNew takes a slot and a connection for a request outside a transaction.
func (o *Owner) runNew(ctx context.Context, p *pool, req *request.Request, need group.ReadRequirement) *request.Response {
	arrived := time.Now()
	if refusal := p.enter(ctx, req.Team, o.weight(req.Team), req.Deadline); refusal != nil {
		return request.Refused(refusal)
	}
	if req.MayCommit && p.stalled() {
		p.leave(0)
		return request.Refused(outcome.Refuse(outcome.ReplicationStalled, "upstream %s", p.spec.Name).WithRetryAfter(stallPause))
	}
	started := time.Now()
	conn, refusal := p.take(ctx)
	if refusal != nil {
		p.leave(0)
		return request.Refused(refusal)
	}
	answer, resp := o.send(ctx, p, conn, req)
	took := time.Since(started)
	p.leave(took)
	if resp == nil {
		resp = &request.Response{Frames: answer.Frames, TxStatus: answer.TxStatus, Position: answer.Position}
	}
	resp.QueueTime, resp.ServiceTime = started.Sub(arrived), took
	if answer.TxStatus != 0 && answer.TxStatus != 'I' {
		resp.TransactionID = o.txns.add(req.Sender, p, conn)
		return resp
	}
	p.put(conn)
	return o.settle(ctx, p, req, need, resp, answer)
}

// send runs the request on a connection; a keyed one goes through the ledger.
// The response is set when the answer cannot be given as it is.
func (o *Owner) send(ctx context.Context, p *pool, conn *upstream.Conn, req *request.Request) (upstream.Answer, *request.Response) {
	if req.IdempotencyKey != "" {
		return o.sendKeyed(ctx, conn, req)
	}
	answer, err := conn.Run(ctx, req.Frames)
	if err != nil {
		p.watcher.Suspect()
		return upstream.Answer{}, request.Refused(runRefusal(err, req.MayCommit))
	}
	return answer, nil
}

// runRefusal tells what is known of a request whose answer is missing. A read
// has no effect, so it counts as not run and may go elsewhere.
func runRefusal(err error, mayCommit bool) *outcome.Refusal {
	var tooLarge *upstream.TooLargeError
	if errors.As(err, &tooLarge) && !mayCommit {
		return outcome.Refuse(outcome.TooLarge, "%v", tooLarge)
	}
	var run *upstream.RunError
	if mayCommit && errors.As(err, &run) && run.Sent {
		return outcome.Refuse(outcome.UnknownOutcome, "%v", err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.Refuse(outcome.DeadlineBeforeStart, "%v", err)
	}
	return outcome.Refuse(outcome.WrongMember, "%v", err)
}

// settle holds an answer until it is safe to give: a write until a majority
// holds it, a read on the primary until it is known to be current.
func (o *Owner) settle(ctx context.Context, p *pool, req *request.Request, need group.ReadRequirement, resp *request.Response, answer upstream.Answer) *request.Response {
	if resp.Refusal != nil {
		return resp
	}
	if answer.ErrorCode == sqlStateReadOnly {
		p.watcher.Suspect()
		return request.Refused(outcome.Refuse(outcome.WrongMember, "upstream %s accepts no writes", p.spec.Name))
	}
	if answer.Position.IsZero() {
		// Nothing was read or committed: a description, or an error.
		return resp
	}
	resp.ForkCrossed = o.forkCrossed(p, req.MinPosition)
	if req.MayCommit {
		resp = o.confirm(ctx, p, resp, answer)
	} else {
		resp = o.confirmRead(ctx, p, need, resp)
	}
	if resp.Refusal == nil && !req.MayCommit && o.aheadOf(p, req.MinPosition, resp.Position) {
		return request.Refused(outcome.Refuse(outcome.TokenAhead, ""))
	}
	return resp
}

// aheadOf reports whether a token is past a position that was current after
// the request came, so that it names an entry that never existed.
func (o *Owner) aheadOf(p *pool, token, current logpos.Position) bool {
	ahead := false
	p.watcher.Inspect(func(v *group.View, _ time.Duration) {
		st, found := v.Primary()
		if !found {
			return
		}
		seen, _ := st.History.Clamp(token)
		ahead = token.Term > st.GrantedTerm || seen > current.Offset
	})
	return ahead
}

func (o *Owner) forkCrossed(p *pool, token logpos.Position) bool {
	crossed := false
	p.watcher.Inspect(func(v *group.View, _ time.Duration) {
		if st, found := v.Primary(); found {
			_, crossed = st.History.Clamp(token)
		}
	})
	return crossed && !token.IsZero()
}

// stallPause is when a write that replication holds off should come back.
const stallPause = 200 * time.Millisecond

// confirm waits until the write's entry is safe. A failed statement changed
// nothing and needs no wait, unless a transaction before it committed.
func (o *Owner) confirm(ctx context.Context, p *pool, resp *request.Response, answer upstream.Answer) *request.Response {
	p.unconfirmed.Add(1)
	defer p.unconfirmed.Add(-1)
	landing := group.Pending
	err := p.watcher.Await(ctx, watch.ForConfirmation, func(v *group.View, _ time.Duration) bool {
		landing = v.EntryState(answer.Position)
		return landing != group.Pending
	})
	if err != nil || landing != group.Committed {
		p.watcher.Suspect()
		return request.Refused(outcome.Refuse(outcome.UnknownOutcome, "no majority of the group confirmed the write at %s", answer.Position))
	}
	return resp
}

// confirmRead checks a read's answer against what the session needs.
func (o *Owner) confirmRead(ctx context.Context, p *pool, need group.ReadRequirement, resp *request.Response) *request.Response {
	verdict, landing, onPrimary := group.Unknown, group.Pending, false
	judge := func(v *group.View, _ time.Duration) bool {
		st, found := v.Primary()
		onPrimary = found && st.Member == p.spec.Name
		if onPrimary {
			landing = v.CheckPrimaryRead(resp.Position, need)
			return landing != group.Pending
		}
		verdict = v.CanServe(resp.Position, need)
		return true
	}
	if err := p.watcher.Await(ctx, watch.ForFreshness, judge); err != nil {
		return request.Refused(outcome.Refuse(outcome.TooStale, "upstream %s could not show that it is current", p.spec.Name))
	}
	if onPrimary && landing != group.Committed {
		return request.Refused(outcome.Refuse(outcome.WrongMember, "upstream %s was superseded", p.spec.Name))
	}
	if !onPrimary && verdict != group.Eligible {
		return request.Refused(verdictRefusal(verdict, p.spec.Name))
	}
	return resp
}
