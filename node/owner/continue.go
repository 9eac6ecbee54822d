package owner

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/request"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// continueTransaction runs the next statement of an open transaction.
func (o *Owner) continueTransaction(ctx context.Context, p *pool, req *request.Request) *request.Response {
	tx, found := o.txns.reserve(req.TransactionID, req.Sender, p)
	if !found {
		return request.Refused(outcome.Refuse(outcome.TransactionLost, "upstream %s", req.Upstream))
	}
	arrived := time.Now()
	if refusal := p.acquireSlot(ctx, req.Team, o.weight(req.Team), req.Deadline); refusal != nil {
		o.abort(tx)
		return request.Refused(outcome.Refuse(outcome.TransactionLost, "%s", refusal.Error()))
	}
	started := time.Now()
	answer, err := tx.conn.Run(ctx, req.Frames)
	took := time.Since(started)
	p.releaseSlot(took)
	if err != nil {
		p.monitor.Suspect()
		o.abort(tx)
		return request.Refused(lostConnRefusal(err, req.MayCommit))
	}
	resp := &request.Response{
		Frames: answer.Frames, TxStatus: answer.TxStatus, Position: answer.Position,
		QueueTime: started.Sub(arrived), ServiceTime: took,
	}
	if answer.TxStatus != 'I' {
		o.txns.endStatement(tx, true)
		resp.TransactionID = tx.id
		return resp
	}
	o.txns.endStatement(tx, false)
	p.releaseConn(tx.conn)
	defer p.endRequest()
	return o.confirmCommit(ctx, p, req, resp, answer)
}

// lostConnRefusal returns the outcome of a transaction whose connection failed.
// The outcome is unknown only if the failed statement was sent and may have committed.
func lostConnRefusal(err error, mayCommit bool) *outcome.Refusal {
	var run *upstream.RunError
	if mayCommit && (!errors.As(err, &run) || run.MayHaveRun) {
		return outcome.Refuse(outcome.UnknownOutcome, "%v", err)
	}
	return outcome.Refuse(outcome.TransactionLost, "%v", err)
}

// confirmCommit delays the answer to a COMMIT until the write is confirmed, like
// that of any write.
func (o *Owner) confirmCommit(ctx context.Context, p *pool, req *request.Request, resp *request.Response, answer upstream.Answer) *request.Response {
	if answer.ErrorCode == sqlStateReadOnly {
		p.monitor.Suspect()
		return request.Refused(outcome.Refuse(outcome.TransactionLost, "upstream %s was superseded", p.spec.Name))
	}
	if !req.MayCommit {
		return resp
	}
	requirement := group.ReadRequirement{ArrivedAt: p.monitor.Now()}
	return o.confirmResponse(ctx, p, req, requirement, resp, answer)
}

// abort closes a transaction's connection, which rolls the transaction back.
func (o *Owner) abort(tx *transaction) {
	o.txns.endStatement(tx, false)
	tx.conn.Close()
	tx.pool.connClosed()
	tx.pool.endRequest()
}

// Release aborts a transaction whose caller has disconnected.
func (o *Owner) Release(sender string, id uint64) {
	o.abortIf(func(tx *transaction) bool { return tx.id == id && tx.sender == sender })
}

// abortSender aborts all transactions of a dead host.
func (o *Owner) abortSender(sender string) {
	o.recent.removeSender(sender)
	o.abortIf(func(tx *transaction) bool { return tx.sender == sender })
}

func (o *Owner) abortIf(match func(*transaction) bool) {
	for _, tx := range o.txns.removeIf(match) {
		tx.conn.Close()
		tx.pool.connClosed()
		tx.pool.endRequest()
	}
}
