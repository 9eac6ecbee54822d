package replicaset

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

const (
	// undoTimeout bounds the end of a transaction that is dropped.
	undoTimeout = time.Second
	// roomPause is the wait before a member that had no room for a statement is
	// asked again: about the work of one. Each further wait is twice as long, up
	// to maxRoomPause, because all connections of all hosts may be waiting.
	roomPause    = 15 * time.Millisecond
	maxRoomPause = 60 * time.Millisecond
)

// Execute carries a job out on a connection of this host.
func (s *Set) Execute(ctx context.Context, j Job) Result {
	switch j.Kind {
	case JobStatement, JobCommit, JobRollback:
		return s.continueTx(ctx, j)
	}
	m, known := s.Member(j.Member)
	if !known {
		return Result{Err: &RefusedError{Reason: "the member is not known here"}}
	}
	began := clock.Now()
	if m.absent(began) {
		return elsewhere(0)
	}
	if j.needsLead() && m.Dead(began) {
		return Result{Err: &RefusedError{Reason: "the member does not answer", Dead: true}}
	}
	if err := s.bound(ctx, j); err != nil {
		return Result{Err: err}
	}
	c, err := m.acquire(ctx, j.Work.waiter())
	waited := clock.Now() - began
	if err != nil {
		return notConnected(err, waited)
	}
	res := s.executeOn(ctx, c, j)
	res.Waited = waited
	return res
}

// errUnbounded refuses a read for which neither its host nor this one knows a
// floor; the primary has to prove its lead for it.
var errUnbounded = &RefusedError{Reason: "nothing known bounds the age of the read"}

// bound has this host know a floor for a read that came without one, before the
// read takes a connection.
func (s *Set) bound(ctx context.Context, j Job) error {
	if !j.needsFloor() || s.awaitFloor(ctx, j.Work) {
		return nil
	}
	return errUnbounded
}

// notConnected returns the result of a job for which there was no connection.
// That another member answers at the address is an answer, which other hosts
// are told as such.
func notConnected(err error, waited time.Duration) Result {
	var ce *ConnectError
	if errors.As(err, &ce) && ce.Code == statement.WrongMember {
		return elsewhere(waited)
	}
	return Result{Err: err, Waited: waited}
}

// elsewhere is the result of a job for a member that is not at its address.
func elsewhere(waited time.Duration) Result {
	return Result{Answer: statement.ErrorAnswer(statement.WrongMember, "another member answers at the address", statement.Idle), Waited: waited}
}

// executeOn carries out a first step on a connection and returns it unless a
// transaction was opened.
func (s *Set) executeOn(ctx context.Context, c *Conn, j Job) Result {
	if err := c.assign(j.Work.Values, j.Work.EndBy); err != nil {
		c.member.release(c)
		return Result{Err: err}
	}
	switch j.Kind {
	case JobBegin:
		return s.begin(c, j)
	case JobGuardedRead:
		return s.readGuarded(ctx, c, j.Work)
	case JobRead:
		return s.readAt(c, j)
	default:
		return s.write(ctx, c, j.Work)
	}
}

// readAt runs a read on a log that holds the floor.
func (s *Set) readAt(c *Conn, j Job) Result {
	defer c.member.release(c)
	floor, err := s.floorNow(j)
	if err != nil {
		return Result{Err: err}
	}
	x, err := c.run(j.Work.Statement, floor, j.Work.attemptEnd(clock.Now()))
	return Result{Answer: x.answer, Err: err, Handed: x.handed}
}

// floorNow returns the floor of a read at this moment. The sender's own serves
// only as long as the job is fresh: it may have waited for a connection.
func (s *Set) floorNow(j Job) (logpos.Position, error) {
	now := clock.Now()
	if floor, found := s.floor(j.Work, now); found {
		return floor, nil
	}
	if !j.Floor.IsZero() && now-j.Work.Received < stalenessMargin {
		return j.Floor, nil
	}
	return logpos.Position{}, &RefusedError{Reason: "the floor grew too old while the statement waited"}
}

// readGuarded runs a read inside a transaction of the system's own. A member
// that has lost the lead refuses to open it, or to read in it, so the answer
// shows every commit acknowledged before. A check made before a plain read
// would prove nothing about the moment of the read.
func (s *Set) readGuarded(ctx context.Context, c *Conn, w Work) Result {
	sent := clock.Now()
	end := w.attemptEnd(sent)
	a, err := c.Do(statement.Operation{Verb: statement.StartTransaction}, end)
	if err != nil || a.Code != statement.OK {
		c.member.release(c)
		return Result{Answer: a, Err: err}
	}
	if s.forgot(c.member, a.Position, sent) {
		go s.undo(c)
		return lostLog()
	}
	w.EndBy = end
	x, err := runWithRoom(ctx, c, w, logpos.Position{})
	if err != nil {
		c.member.release(c)
		return Result{Err: err, Handed: x.handed}
	}
	res := s.proven(c, x)
	go s.undo(c)
	res.Answer.State = statement.Idle
	return res
}

// write runs a single write.
func (s *Set) write(ctx context.Context, c *Conn, w Work) Result {
	defer c.member.release(c)
	x, err := runWithRoom(ctx, c, w, logpos.Position{})
	if err != nil {
		return Result{Err: err, Handed: x.handed}
	}
	return s.written(c, x)
}

// written turns the answer to a write, or to a commit of writes, into a result.
func (s *Set) written(c *Conn, x exchange) Result {
	res := s.proven(c, x)
	if res.Proof {
		s.noteWrite(c.member, x.answer.Position)
	}
	return res
}

// proven turns an answer that only a primary gives into a result, and learns
// from it.
func (s *Set) proven(c *Conn, x exchange) Result {
	res := Result{Answer: x.answer, Handed: x.handed, Proof: x.answer.Code == statement.OK}
	if res.Proof {
		s.proved(c.member, x.answer.Position, x.sent)
	}
	return res
}

// begin opens a transaction and keeps its connection.
func (s *Set) begin(c *Conn, j Job) Result {
	op := statement.Operation{Verb: statement.StartTransaction, ReadOnly: !j.Plain}
	if !j.Plain {
		floor, err := s.floorNow(j)
		if err != nil {
			c.member.release(c)
			return Result{Err: err}
		}
		op.MinPosition = floor
	}
	sent := clock.Now()
	a, err := c.Do(op, j.Work.EndBy)
	if err != nil || a.Code != statement.OK {
		c.member.release(c)
		return Result{Answer: a, Err: err}
	}
	if j.Plain && s.forgot(c.member, a.Position, sent) {
		go s.undo(c)
		return lostLog()
	}
	if j.Plain {
		s.proved(c.member, a.Position, sent)
	}
	return Result{Answer: a, Proof: j.Plain, Tx: s.txs.add(c, j)}
}

// lostLog is the result of a step that a member must not take as the primary,
// because it has started again without its log. Nothing of the caller was sent.
func lostLog() Result {
	return Result{Answer: statement.ErrorAnswer(statement.ReadOnlyMember, "the member has lost its log", statement.Idle)}
}

// undo rolls back the transaction on a connection and returns it.
func (s *Set) undo(c *Conn) {
	if !c.broken && c.lastState != statement.Idle {
		if _, err := c.Do(statement.Operation{Verb: statement.RollbackTransaction}, clock.Now()+undoTimeout); err != nil {
			s.log.Debug().Err(err).Msg("a rollback had no answer; the connection is closed")
		}
	}
	c.member.release(c)
}

// continueTx carries out a later step of a transaction.
func (s *Set) continueTx(ctx context.Context, j Job) Result {
	tx, found := s.txs.get(j.Tx)
	if !found && j.Kind == JobRollback {
		return Result{}
	}
	if !found {
		return Result{Err: &RefusedError{Reason: "the transaction is gone"}}
	}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if tx.ended && j.Kind == JobRollback {
		return Result{}
	}
	if tx.ended {
		return Result{Err: &RefusedError{Reason: "the transaction has ended"}}
	}
	tx.used = clock.Now()
	if j.Kind == JobRollback {
		s.endTx(tx)
		return Result{}
	}
	if j.Kind == JobStatement {
		if err := tx.conn.assign(j.Work.Values, j.Work.EndBy); err != nil {
			s.endTx(tx)
			return Result{Err: err}
		}
	}
	x, err := runWithRoom(ctx, tx.conn, j.Work, logpos.Position{})
	if err != nil {
		s.endTx(tx)
		return Result{Err: err, Handed: x.handed}
	}
	res := Result{Answer: x.answer, Handed: x.handed}
	switch {
	case tx.plain && j.Kind == JobStatement:
		res = s.proven(tx.conn, x)
	case tx.plain && j.Wrote:
		res = s.written(tx.conn, x)
	}
	if j.Kind == JobCommit || x.answer.State != statement.Open {
		s.endTx(tx)
	}
	tx.used = clock.Now()
	return res
}

// endTx gives the connection of a transaction back. It is called with the
// transaction's lock held.
func (s *Set) endTx(tx *localTx) {
	tx.ended = true
	s.txs.remove(tx.id)
	go s.undo(tx.conn)
}

// runWithRoom runs a statement, and again while the member has no room for it
// and the transaction that it runs in, if any, still stands. The member's queue
// is short; a place in it is free again after a few milliseconds.
func runWithRoom(ctx context.Context, c *Conn, w Work, floor logpos.Position) (exchange, error) {
	state := c.lastState
	for pause := roomPause; ; pause = min(2*pause, maxRoomPause) {
		x, err := c.run(w.Statement, floor, w.EndBy)
		if err != nil || x.answer.Code != statement.Busy || x.answer.State != state {
			return x, err
		}
		// What starts now must have time left to be answered: a missing answer
		// would look like a dead member.
		now := clock.Now()
		if now > w.StartBy || now+pause+maxRoomPause > w.EndBy || !clock.Sleep(ctx, pause) {
			return x, nil
		}
	}
}
