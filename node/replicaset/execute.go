package replicaset

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/correlate"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

const (
	// rollbackTimeout bounds the rollback of an abandoned transaction.
	rollbackTimeout = time.Second
)

// Execute runs a job on a connection of this host, unless it refuses it because the member
// is ejected.
func (s *Set) Execute(ctx context.Context, j Job) Result {
	return s.executeJudged(j, func() Result { return s.execute(ctx, j) })
}

func (s *Set) execute(ctx context.Context, j Job) Result {
	switch j.Kind {
	case JobStatement, JobCommit, JobRollback:
		return s.continueTx(ctx, j)
	}
	m, known := s.Member(j.Member)
	if !known {
		return Result{Err: &RefusedError{Reason: "the member is not known here"}}
	}
	began := clock.Now()
	if m.inWrongMemberBackoff(began) {
		return wrongMemberResult(0)
	}
	if j.requiresPrimary() && m.Dead(began) {
		return Result{Err: &RefusedError{Reason: "the member does not answer", MemberDead: true}}
	}
	if s.LogLost(m.id) {
		return lostLogResult()
	}
	if err := s.ensureFloor(ctx, j); err != nil {
		return Result{Err: err}
	}
	w, returned := m.newWaiter(j)
	c, err := s.acquireVerified(ctx, m, j, w)
	waited := clock.Now() - began
	if err != nil {
		return acquireFailure(m.scheduleReturn(ctx, j, w, returned, err), waited)
	}
	if s.LogLost(m.id) {
		m.release(c)
		return lostLogResult()
	}
	res := s.executeOn(ctx, c, j)
	res.Waited = waited
	return res
}

// acquireVerified takes a connection for a job. If the member is to act as the primary, its
// log has been verified by then.
func (s *Set) acquireVerified(ctx context.Context, m *Member, j Job, w connpool.Waiter) (*Conn, error) {
	if !j.requiresPrimary() && !s.isAssumedPrimary(m) {
		return m.acquireSuitable(ctx, w, j.suits(m))
	}
	// A closed connection that is found meanwhile may show that the member has restarted.
	const tries = 2
	for range tries {
		if err := s.ensureLogVerified(ctx, m, j.Request.StartDeadline); err != nil {
			return nil, err
		}
		c, err := m.acquireSuitable(ctx, w, j.suits(m))
		if err != nil || s.logUsable(m) {
			return c, err
		}
		m.release(c)
	}
	return nil, errLogUnverified
}

// errNoFloor refuses a read for which neither the sending host nor this one
// knows a floor. Such a read has to be served by the primary.
var errNoFloor = &RefusedError{Reason: "nothing known bounds the age of the read"}

// ensureFloor makes sure that a floor is known for a read that came without
// one, before the read takes a connection.
func (s *Set) ensureFloor(ctx context.Context, j Job) error {
	if !j.needsFloor() || s.awaitFloor(ctx, j.Request) {
		return nil
	}
	return errNoFloor
}

// acquireFailure returns the result of a job that got no connection. A
// wrong-member login is returned as an answer, so that it reaches other hosts.
func acquireFailure(err error, waited time.Duration) Result {
	var connErr *ConnectError
	if errors.As(err, &connErr) && connErr.Code == statement.WrongMember {
		return wrongMemberResult(waited)
	}
	return Result{Err: err, Waited: waited}
}

// wrongMemberResult is the result of a job whose member is no longer at its
// address.
func wrongMemberResult(waited time.Duration) Result {
	return Result{Answer: statement.ErrorAnswer(statement.WrongMember, "another member answers at the address", statement.Idle), Waited: waited}
}

// executeOn runs a read, a write or the begin of a transaction on a connection. It
// releases the connection unless a transaction was opened.
func (s *Set) executeOn(ctx context.Context, c *Conn, j Job) Result {
	if err := c.setSessionValues(j.Request.Values, j.Request.Deadline); err != nil {
		c.member.release(c)
		return Result{Err: err}
	}
	switch j.Kind {
	case JobBegin:
		return s.begin(c, j)
	case JobPrimaryRead:
		j.Request.Deadline = j.Request.attemptDeadline(clock.Now())
		return s.readOnPrimary(ctx, c, j.Request)
	case JobRead:
		return s.readAtFloor(c, j)
	default:
		return s.write(ctx, c, j)
	}
}

// readAtFloor runs a read that must observe its floor.
func (s *Set) readAtFloor(c *Conn, j Job) Result {
	defer c.member.release(c)
	floor, err := s.currentFloor(j)
	if err != nil {
		return Result{Err: err}
	}
	x, err := c.run(j.Request.Statement, floor, j.Request.attemptDeadline(clock.Now()))
	return Result{Answer: x.answer, Err: err, StatementMayHaveRun: x.statementMayHaveRun}
}

// currentFloor returns the floor of a read as of now. The sender's floor is
// used only while the job is recent: it may be too old after a wait for a
// connection.
func (s *Set) currentFloor(j Job) (logpos.Position, error) {
	now := clock.Now()
	if floor, found := s.floor(j.Request, now); found {
		return floor, nil
	}
	if !j.Floor.IsZero() && now-j.Request.Received < stalenessMargin {
		return j.Floor, nil
	}
	return logpos.Position{}, &RefusedError{Reason: "the floor grew too old while the statement waited"}
}

// readOnPrimary runs a read inside a read-write transaction opened for it, which
// only the primary allows. The answer so reflects every commit acknowledged before.
// A separate check before a plain read would be a race with a failover.
func (s *Set) readOnPrimary(ctx context.Context, c *Conn, req Request) Result {
	sent := clock.Now()
	a, err := c.Do(statement.Operation{Verb: statement.StartTransaction}, req.Deadline)
	if err != nil || a.Code != statement.OK {
		c.member.release(c)
		return Result{Answer: a, Err: err}
	}
	// Only the primary opens such a transaction. If the read fails, a replica can serve it at
	// this position, unless the route needs the primary.
	if c.certain && !s.confirmPrimary(c.member, a.Position, sent) {
		go s.rollback(c)
		return lostLogResult()
	}
	x, err := c.runSoleRead(ctx, req)
	if err != nil {
		c.member.release(c)
		return Result{Err: err, StatementMayHaveRun: x.statementMayHaveRun}
	}
	res := s.primaryResult(c, x)
	go s.rollback(c)
	res.Answer.State = statement.Idle
	return res
}

// suits reports whether a connection with a history can run the job so that its answer can be
// told from earlier ones: since its latest error the member's log has gone on, so that another
// one has another position. What only reads takes any error for its own.
func (j Job) suits(m *Member) func(*correlate.Tracker) bool {
	return func(t *correlate.Tracker) bool {
		position, _ := m.lastPosition()
		mayFail := j.Kind != JobWrite && (j.Kind != JobBegin || !j.RequirePrimary)
		return t.Settleable(position) && (mayFail || !t.Failed(position))
	}
}

// writeResult converts the answer to a write, or to a commit with writes, into a
// result.
func (s *Set) writeResult(c *Conn, x exchange) Result {
	res := s.primaryResult(c, x)
	if res.ConfirmsPrimary {
		s.logFirstWrite(c.member, x.answer.Position)
	}
	return res
}

// primaryResult converts an answer that only a primary can give into a result and
// records that it confirms the primary.
func (s *Set) primaryResult(c *Conn, x exchange) Result {
	res := Result{Answer: x.answer, StatementMayHaveRun: x.statementMayHaveRun, ConfirmsPrimary: x.answer.Code == statement.OK}
	return s.confirmResult(c.member, res, x.sentAt)
}

// errLogLost is the reason why an answer of a primary does not count.
var errLogLost = errors.New("the member has lost its log; what it acknowledges is lost when it is replaced")

// confirmResult records that a result confirms the primary. If the position in it shows
// that the member has lost part of its log, the answer does not count: a write that it
// acknowledges is lost with it, and a read misses what was acknowledged before.
func (s *Set) confirmResult(m *Member, res Result, sent time.Duration) Result {
	if res.Err != nil || !res.ConfirmsPrimary || s.confirmPrimary(m, res.Answer.Position, sent) {
		return res
	}
	return Result{
		Err: &NoResponseError{Member: m.id, Err: errLogLost}, StatementMayHaveRun: res.StatementMayHaveRun,
		Waited: res.Waited, Floor: res.Floor,
	}
}

// begin opens a transaction and keeps its connection.
func (s *Set) begin(c *Conn, j Job) Result {
	op := statement.Operation{Verb: statement.StartTransaction, ReadOnly: !j.RequirePrimary}
	if !j.RequirePrimary {
		floor, err := s.currentFloor(j)
		if err != nil {
			c.member.release(c)
			return Result{Err: err}
		}
		op.MinPosition = floor
	}
	sent := clock.Now()
	a, err := c.Do(op, j.Request.Deadline)
	if err != nil || a.Code != statement.OK {
		c.member.release(c)
		return Result{Answer: a, Err: err}
	}
	confirms := j.RequirePrimary && c.certain
	if confirms && !s.confirmPrimary(c.member, a.Position, sent) {
		go s.rollback(c)
		return lostLogResult()
	}
	return Result{Answer: a, ConfirmsPrimary: confirms, Tx: s.txs.add(c, j)}
}

// lostLogResult is the result of a job on a member that restarted without its log
// and must not be treated as the primary. No statement of the caller was sent.
func lostLogResult() Result {
	return Result{Answer: statement.ErrorAnswer(statement.ReadOnlyMember, "the member has lost its log", statement.Idle)}
}

// rollback rolls back the transaction on a connection, if any, and releases the
// connection.
func (s *Set) rollback(c *Conn) {
	if !c.broken && c.tracker.State() != statement.Idle {
		if _, err := c.Do(statement.Operation{Verb: statement.RollbackTransaction}, clock.Now()+rollbackTimeout); err != nil {
			s.log.Debug().Err(err).Msg("rollback was not answered; closing the connection")
		}
	}
	c.member.release(c)
}

// continueTx runs a job of an open transaction.
func (s *Set) continueTx(ctx context.Context, j Job) Result {
	tx, found := s.txs.get(j.Tx, j.Owner)
	if !found && j.Kind == JobRollback {
		return Result{}
	}
	if !found {
		return Result{Err: &RefusedError{Reason: "the host that kept the transaction has no such transaction"}}
	}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if tx.ended && j.Kind == JobRollback {
		return Result{}
	}
	if tx.ended {
		return Result{Err: &RefusedError{Reason: "the transaction has ended"}}
	}
	tx.lastUsed = clock.Now()
	if j.Kind == JobRollback {
		s.endTx(tx)
		return Result{}
	}
	if j.Kind == JobStatement {
		if err := tx.conn.setSessionValues(j.Request.Values, j.Request.Deadline); err != nil {
			s.endTx(tx)
			return Result{Err: err}
		}
	}
	x, err := runInTx(ctx, tx.conn, j)
	if err != nil {
		s.endTx(tx)
		return Result{Err: err, StatementMayHaveRun: x.statementMayHaveRun}
	}
	res := Result{Answer: x.answer, StatementMayHaveRun: x.statementMayHaveRun}
	switch {
	case tx.onPrimary && j.Kind == JobStatement:
		res = s.primaryResult(tx.conn, x)
	case tx.onPrimary && j.Wrote:
		res = s.writeResult(tx.conn, x)
	}
	if j.Kind == JobCommit || x.answer.State != statement.InTransaction {
		s.endTx(tx)
	}
	tx.lastUsed = clock.Now()
	return res
}

// endTx ends a transaction and releases its connection in the background. It is
// called with tx.mu held.
func (s *Set) endTx(tx *localTx) {
	tx.ended = true
	s.txs.remove(tx.id)
	go s.rollback(tx.conn)
}
