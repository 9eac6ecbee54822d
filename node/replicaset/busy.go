package replicaset

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

const (
	// busyRetryDelay is the first wait before a statement that the member
	// refused as busy is sent again. The delay doubles up to maxBusyRetryDelay,
	// because many connections may be retrying at once.
	busyRetryDelay    = 15 * time.Millisecond
	maxBusyRetryDelay = 60 * time.Millisecond
)

// runSoleRead runs a read in a transaction of its own, and again while the member answers busy.
// The member's queue is short, so it has room again within milliseconds. A refusal that repeats
// an earlier one does no harm: what arrives next is the answer to an earlier run of the same
// read, or is found by the rollback.
func (c *Conn) runSoleRead(ctx context.Context, req Request) (exchange, error) {
	op := forward(req.Statement)
	op.SoleRead = true
	for delay := busyRetryDelay; ; delay = min(2*delay, maxBusyRetryDelay) {
		x, err := c.runAs(op, req.Statement, req.Deadline)
		if err != nil || x.answer.Code != statement.Busy || x.answer.State != statement.InTransaction || !awaitBusyRetry(ctx, req, delay) {
			return x, err
		}
	}
}

// write runs a write, and again while the member answers busy. A refusal that equals an earlier
// one on the connection could repeat it while the write runs, so the next run has a connection
// that suits it.
func (s *Set) write(ctx context.Context, c *Conn, j Job) Result {
	m, req := c.member, j.Request
	for delay := busyRetryDelay; ; delay = min(2*delay, maxBusyRetryDelay) {
		x, err := c.runSettled(req.Statement, req.Deadline)
		if err != nil {
			m.release(c)
			return Result{Err: err, StatementMayHaveRun: x.statementMayHaveRun}
		}
		res := s.writeResult(c, x)
		m.release(c)
		if res.Err != nil || res.Answer.Code != statement.Busy || !awaitBusyRetry(ctx, req, delay) {
			return res
		}
		if c, err = s.acquireVerified(ctx, m, j, req.waiter()); err != nil {
			return res
		}
		if err := c.setSessionValues(req.Values, req.Deadline); err != nil {
			m.release(c)
			return Result{Err: err}
		}
	}
}

// runInTx runs a statement of an open transaction, and once more if the member answers busy
// and the transaction goes on. After a second refusal, the transaction would have to be given
// up with its connection, and it would be unknown whether a commit of writes has run, so that is
// not repeated.
func runInTx(ctx context.Context, c *Conn, j Job) (exchange, error) {
	state, req := c.tracker.State(), j.Request
	x, err := c.runSettled(req.Statement, req.Deadline)
	repeat := err == nil && x.answer.Code == statement.Busy && x.answer.State == state && !j.Wrote
	if !repeat || !awaitBusyRetry(ctx, req, busyRetryDelay) {
		return x, err
	}
	return c.runSettled(req.Statement, req.Deadline)
}

// awaitBusyRetry waits until a statement that a member refused as busy may be sent again. It
// returns false if too little time is left.
func awaitBusyRetry(ctx context.Context, req Request, delay time.Duration) bool {
	// Leave enough time for an answer: a timeout would count as evidence that the member is
	// dead.
	now := clock.Now()
	return now <= req.StartDeadline && now+delay+maxBusyRetryDelay <= req.Deadline && clock.Sleep(ctx, delay)
}
