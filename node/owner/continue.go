package owner

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/request"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// continueTransaction runs the next statement of an open transaction.
func (o *Owner) continueTransaction(ctx context.Context, p *pool, req *request.Request) *request.Response {
	tx, found := o.txns.claim(req.TransactionID, req.Sender, p)
	if !found {
		return request.Refused(outcome.Refuse(outcome.TransactionLost, "upstream %s", req.Upstream))
	}
	arrived := time.Now()
	if refusal := p.enter(ctx, req.Team, o.weight(req.Team), req.Deadline); refusal != nil {
		o.drop(tx)
		return request.Refused(outcome.Refuse(outcome.TransactionLost, "%s", refusal.Error()))
	}
	started := time.Now()
	answer, err := tx.conn.Run(ctx, req.Frames)
	took := time.Since(started)
	p.leave(took)
	if err != nil {
		p.watcher.Suspect()
		o.drop(tx)
		return request.Refused(lostRefusal(err, req.MayCommit))
	}
	resp := &request.Response{
		Frames: answer.Frames, TxStatus: answer.TxStatus, Position: answer.Position,
		QueueTime: started.Sub(arrived), ServiceTime: took,
	}
	if answer.TxStatus != 'I' {
		o.txns.settle(tx, true)
		resp.TransactionID = tx.id
		return resp
	}
	o.txns.settle(tx, false)
	p.put(tx.conn)
	defer p.finish()
	return o.settleEnd(ctx, p, req, resp, answer)
}

// lostRefusal tells what became of a transaction whose connection failed. Only
// a statement that may commit leaves the outcome open.
func lostRefusal(err error, mayCommit bool) *outcome.Refusal {
	if mayCommit {
		return outcome.Refuse(outcome.UnknownOutcome, "%v", err)
	}
	return outcome.Refuse(outcome.TransactionLost, "%v", err)
}

// settleEnd holds the answer to a COMMIT like that of any write.
func (o *Owner) settleEnd(ctx context.Context, p *pool, req *request.Request, resp *request.Response, answer upstream.Answer) *request.Response {
	if answer.ErrorCode == sqlStateReadOnly {
		p.watcher.Suspect()
		return request.Refused(outcome.Refuse(outcome.TransactionLost, "upstream %s was superseded", p.spec.Name))
	}
	if !req.MayCommit {
		return resp
	}
	need := group.ReadRequirement{ArrivedAt: p.watcher.Now()}
	return o.settle(ctx, p, req, need, resp, answer)
}

// drop closes a transaction's connection, which rolls it back.
func (o *Owner) drop(tx *transaction) {
	o.txns.settle(tx, false)
	tx.conn.Close()
	tx.pool.forget()
	tx.pool.finish()
}

// Release ends a transaction whose caller is gone.
func (o *Owner) Release(sender string, id uint64) {
	o.dropIf(func(tx *transaction) bool { return tx.id == id && tx.sender == sender })
}

// forgetSender ends all transactions of a host that died.
func (o *Owner) forgetSender(sender string) {
	o.seen.forget(sender)
	o.dropIf(func(tx *transaction) bool { return tx.sender == sender })
}

func (o *Owner) dropIf(match func(*transaction) bool) {
	for _, tx := range o.txns.takeIf(match) {
		tx.conn.Close()
		tx.pool.forget()
		tx.pool.finish()
	}
}
