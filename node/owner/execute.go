package owner

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/groupmonitor"
	"github.com/dotterelswitch/dotterelswitch/node/request"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// sqlStateReadOnly (read_only_sql_transaction) is a member's answer to a write while
// it is not primary.
const sqlStateReadOnly = "25006"

// Execute runs one request on a member whose pool this host owns.
func (o *Owner) Execute(ctx context.Context, req *request.Request) *request.Response {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	defer o.running.add(req.Sender, req.ID, cancel)()
	resp := o.execute(ctx, req)
	if resp.Refusal != nil || resp.Hint.Primary == "" {
		resp.Hint = o.hint(req.Service)
	}
	return resp
}

func (o *Owner) execute(ctx context.Context, req *request.Request) *request.Response {
	if !o.recent.add(req.Sender, req.ID) {
		return request.Refused(outcome.Refuse(outcome.UnknownOutcome, "the request was delivered twice"))
	}
	p, refusal := o.pool(ctx, req.Service, req.Upstream)
	if refusal != nil {
		return request.Refused(refusal)
	}
	if req.TransactionID != 0 {
		return o.continueTransaction(ctx, p, req)
	}
	if !p.beginRequest() {
		return request.Refused(outcome.Refuse(outcome.Draining, "the pool of %s is being handed over", req.Upstream))
	}
	requirement := group.ReadRequirement{Token: req.MinPosition, Staleness: req.MaxStaleness, ArrivedAt: p.monitor.Now()}
	if refusal := o.eligible(ctx, p, req, requirement); refusal != nil {
		p.endRequest()
		return request.Refused(refusal)
	}
	resp := o.runNew(ctx, p, req, requirement)
	if resp.TransactionID == 0 {
		p.endRequest()
	}
	return resp
}

// eligible checks the member's role for a write and its replication position for
// a read.
func (o *Owner) eligible(ctx context.Context, p *pool, req *request.Request, requirement group.ReadRequirement) *outcome.Refusal {
	if o.draining(p.spec.Name) {
		return outcome.Refuse(outcome.Draining, "upstream %s is leaving", p.spec.Name)
	}
	if req.NeedsPrimary {
		return o.requirePrimary(p)
	}
	verdict, primary := group.Unknown, false
	evaluate := func(v *group.View, _ time.Duration) bool {
		verdict = v.CanRead(p.spec.Name, requirement)
		st, found := v.Primary()
		primary = found && st.Member == p.spec.Name && !v.Failing(st.Member)
		return verdict == group.Eligible || verdict == group.Ahead || (primary && verdict != group.Unknown)
	}
	waitCtx, cancel := context.WithTimeout(ctx, req.CatchUpWait)
	defer cancel()
	p.monitor.Inspect(func(v *group.View, now time.Duration) { evaluate(v, now) })
	if verdict != group.Eligible && !primary {
		_ = p.monitor.WaitUntil(waitCtx, groupmonitor.ForFreshness, evaluate)
	}
	if primary && verdict != group.Ahead {
		return nil
	}
	return readRefusal(verdict, p.spec.Name)
}

func readRefusal(v group.ReadVerdict, member string) *outcome.Refusal {
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

// requirePrimary refuses a write on a member that is not the primary.
func (o *Owner) requirePrimary(p *pool) *outcome.Refusal {
	isPrimary := false
	p.monitor.Inspect(func(v *group.View, _ time.Duration) {
		st, found := v.CurrentPrimary()
		isPrimary = found && st.Member == p.spec.Name && !v.Failing(st.Member)
	})
	if !isPrimary {
		return outcome.Refuse(outcome.WrongMember, "upstream %s is not the primary", p.spec.Name)
	}
	return nil
}

// runNew runs a request outside an open transaction: it acquires a slot and a
// connection, sends the request and confirms the answer.
func (o *Owner) runNew(ctx context.Context, p *pool, req *request.Request, requirement group.ReadRequirement) *request.Response {
	arrived := time.Now()
	if refusal := p.acquireSlot(ctx, req.Team, o.weight(req.Team), req.Deadline); refusal != nil {
		return request.Refused(refusal)
	}
	if req.MayCommit && p.replicationStalled() {
		p.releaseSlot(0)
		return request.Refused(outcome.Refuse(outcome.ReplicationStalled, "upstream %s", p.spec.Name).WithRetryAfter(stallRetryAfter))
	}
	started := time.Now()
	conn, refusal := p.acquireConn(ctx)
	if refusal != nil {
		p.releaseSlot(0)
		return request.Refused(refusal)
	}
	answer, resp := o.send(ctx, p, conn, req)
	took := time.Since(started)
	p.releaseSlot(took)
	if resp == nil {
		resp = &request.Response{Frames: answer.Frames, TxStatus: answer.TxStatus, Position: answer.Position}
	}
	resp.QueueTime, resp.ServiceTime = started.Sub(arrived), took
	if answer.TxStatus != 0 && answer.TxStatus != 'I' {
		resp.TransactionID = o.txns.add(req.Sender, p, conn)
		return resp
	}
	p.releaseConn(conn)
	return o.confirmResponse(ctx, p, req, requirement, resp, answer)
}

// send runs the request on a connection; a request with an idempotency key goes
// through the ledger. The response is non-nil if the answer must not be passed on
// unchanged.
func (o *Owner) send(ctx context.Context, p *pool, conn *upstream.Conn, req *request.Request) (upstream.Answer, *request.Response) {
	if req.IdempotencyKey != "" {
		return o.sendKeyed(ctx, conn, req)
	}
	answer, err := conn.Run(ctx, req.Frames)
	if err != nil {
		p.monitor.Suspect()
		return upstream.Answer{}, request.Refused(runRefusal(err, req.MayCommit))
	}
	return answer, nil
}

// runRefusal returns the outcome of a request without an answer. A read has no
// effect, so it counts as not run and may be retried elsewhere.
func runRefusal(err error, mayCommit bool) *outcome.Refusal {
	var tooLarge *upstream.TooLargeError
	if errors.As(err, &tooLarge) && !mayCommit {
		return outcome.Refuse(outcome.TooLarge, "%v", tooLarge)
	}
	var run *upstream.RunError
	if mayCommit && errors.As(err, &run) && run.MayHaveRun {
		return outcome.Refuse(outcome.UnknownOutcome, "%v", err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.Refuse(outcome.DeadlineBeforeStart, "%v", err)
	}
	return outcome.Refuse(outcome.WrongMember, "%v", err)
}

// confirmResponse delays an answer until it is safe to return: a write until a
// majority has it, a read from the primary until the primary is known to be
// current.
func (o *Owner) confirmResponse(ctx context.Context, p *pool, req *request.Request, requirement group.ReadRequirement, resp *request.Response, answer upstream.Answer) *request.Response {
	if resp.Refusal != nil {
		return resp
	}
	if answer.ErrorCode == sqlStateReadOnly {
		p.monitor.Suspect()
		return request.Refused(outcome.Refuse(outcome.WrongMember, "upstream %s accepts no writes", p.spec.Name))
	}
	if answer.Position.IsZero() {
		// Nothing was read or committed, as for a Describe or an error.
		return resp
	}
	resp.ForkCrossed = o.forkCrossed(p, req.MinPosition)
	if req.MayCommit {
		resp = o.confirmWrite(ctx, p, resp, answer)
	} else {
		resp = o.confirmRead(ctx, p, requirement, resp)
	}
	if resp.Refusal == nil && !req.MayCommit && o.tokenAhead(p, req.MinPosition, resp.Position) {
		return request.Refused(outcome.Refuse(outcome.TokenAhead, ""))
	}
	return resp
}

// tokenAhead reports whether a token exceeds a position that was current after
// the request arrived, which means that it names an entry that never existed.
func (o *Owner) tokenAhead(p *pool, token, current logpos.Position) bool {
	ahead := false
	p.monitor.Inspect(func(v *group.View, _ time.Duration) {
		st, found := v.Primary()
		if !found {
			return
		}
		seen, _ := st.History.Clamp(token)
		ahead = token.Term > st.GrantedTerm || seen > current.Offset
	})
	return ahead
}

// forkCrossed reports whether the session has seen entries that a change of
// primary discarded.
func (o *Owner) forkCrossed(p *pool, token logpos.Position) bool {
	crossed := false
	p.monitor.Inspect(func(v *group.View, _ time.Duration) {
		if st, found := v.Primary(); found {
			_, crossed = st.History.Clamp(token)
		}
	})
	return crossed && !token.IsZero()
}

// stallRetryAfter is the retry delay of a write that is refused because
// replication is stalled.
const stallRetryAfter = 200 * time.Millisecond

// confirmWrite waits until a majority has the write. A failed statement has a
// position only if an earlier transaction of the request committed.
func (o *Owner) confirmWrite(ctx context.Context, p *pool, resp *request.Response, answer upstream.Answer) *request.Response {
	p.unconfirmed.Add(1)
	defer p.unconfirmed.Add(-1)
	state := group.Pending
	err := p.monitor.WaitUntil(ctx, groupmonitor.ForCommit, func(v *group.View, _ time.Duration) bool {
		state = v.EntryState(answer.Position)
		return state != group.Pending
	})
	if err != nil || state != group.Committed {
		p.monitor.Suspect()
		return request.Refused(outcome.Refuse(outcome.UnknownOutcome, "no majority of the group confirmed the write at %s", answer.Position))
	}
	return resp
}

// confirmRead checks a read's answer against the session's requirements.
func (o *Owner) confirmRead(ctx context.Context, p *pool, requirement group.ReadRequirement, resp *request.Response) *request.Response {
	verdict, state, onPrimary := group.Unknown, group.Pending, false
	evaluate := func(v *group.View, _ time.Duration) bool {
		st, found := v.Primary()
		onPrimary = found && st.Member == p.spec.Name
		if onPrimary {
			state = v.CheckPrimaryRead(resp.Position, requirement)
			return state != group.Pending
		}
		verdict = v.CanServe(resp.Position, requirement)
		return true
	}
	if err := p.monitor.WaitUntil(ctx, groupmonitor.ForFreshness, evaluate); err != nil {
		return request.Refused(outcome.Refuse(outcome.TooStale, "upstream %s could not show that it is current", p.spec.Name))
	}
	if onPrimary && state != group.Committed {
		return request.Refused(outcome.Refuse(outcome.WrongMember, "upstream %s was superseded", p.spec.Name))
	}
	if !onPrimary && verdict != group.Eligible {
		return request.Refused(readRefusal(verdict, p.spec.Name))
	}
	return resp
}
