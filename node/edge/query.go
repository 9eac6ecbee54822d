package edge

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

const (
	// responseMargin is the part of a statement timeout reserved for returning the
	// answer.
	responseMargin = 20 * time.Millisecond
	// executionMargin is the part of a statement timeout reserved for execution:
	// the queue of a busy member (24 statements of 14 ms on three slots) and a round
	// trip between regions.
	executionMargin = 150 * time.Millisecond
	// attemptFraction is the fraction of the route's target latency that one
	// attempt of a read may take, so that another member can still answer in time
	// if the answer is lost. Half of a target exceeds a full queue of a member and the
	// longest statement.
	attemptFraction = 0.5
	// minAttemptTime is the lower bound of that time.
	minAttemptTime = 250 * time.Millisecond
)

// handleQuery runs one statement and sends the answer.
func (s *caller) handleQuery(m receivedMessage) {
	c := s.gateway.backend.Catalog()
	record := Record{Database: s.session.Database, Key: s.credential.Fingerprint(), Version: c.Version}
	out := s.runStatement(c, m, &record)
	if out.Answer.Code != statement.OK && out.Cause == "" {
		out.Cause = out.Answer.Detail
	}
	s.send(s.gateway.proto.EncodeAnswer(out.Answer))
	record.Team, record.Outcome, record.Elapsed = s.team.Name, out, clock.Now()-m.receivedAt
	s.gateway.observer.Finished(record)
}

// runStatement runs one statement under a configuration.
func (s *caller) runStatement(c *catalog.Catalog, m receivedMessage, record *Record) replicaset.Outcome {
	st, known := s.session.ResolvePrepared(m.message.Statement)
	record.Statement = st
	route, found := c.Route(s.session.Database)
	if found && !s.authorize(c, route) && st.Kind != statement.Rollback {
		return replicaset.Outcome{Answer: s.failPossibleCommit(st, statement.ErrorAnswer(statement.Unauthorized, "no team holds this session's key any more", statement.Idle))}
	}
	if answer, refused := s.refuseWhileStopping(st); refused {
		return replicaset.Outcome{Answer: answer}
	}
	if answer, answered := s.session.AnswerLocally(st); answered {
		if st.Kind == statement.Rollback && s.session.State == statement.Idle {
			s.rollbackTx()
		}
		return replicaset.Outcome{Answer: answer}
	}
	if !known {
		return replicaset.Outcome{Answer: s.failStatement(statement.ErrorAnswer(statement.Invalid, "no statement is prepared under this name", statement.Idle))}
	}
	if !found {
		return replicaset.Outcome{Answer: s.failStatement(statement.ErrorAnswer(statement.UnknownDatabase, "the route was removed", statement.Idle))}
	}
	record.Route = route
	return s.runOnMember(st, route, m.receivedAt)
}

// refuseWhileStopping refuses a statement that the host's stop leaves no time for. Nothing of
// it has run.
func (s *caller) refuseWhileStopping(st statement.Statement) (statement.Answer, bool) {
	plan := s.gateway.stop.Load()
	begins, runs := st.Kind == statement.Begin, st.Reads() || st.Writes()
	if plan == nil || plan.Admits(begins, clock.Now()) {
		return statement.Answer{}, false
	}
	state := s.session.State
	switch {
	case state == statement.InTransaction && (runs || st.Kind == statement.Commit):
		return s.failPossibleCommit(st, statement.ErrorAnswer(statement.Aborted, reasonStopping, statement.Idle)), true
	case state == statement.Idle && (runs || begins):
		return statement.ErrorAnswer(statement.Busy, reasonStopping, statement.Idle), true
	}
	return statement.Answer{}, false
}

// authorize updates the caller's team from a configuration. It returns false if
// the caller's key was revoked while its session was open. A transaction begun
// under another team is rolled back, because its connection belongs to that team.
func (s *caller) authorize(c *catalog.Catalog, route catalog.Route) bool {
	team, authorized := c.Authorize(route, s.credential)
	if s.tx != nil && team.Name != s.team.Name {
		s.rollbackTx()
		s.session.AbortTransaction("the caller's team has changed")
	}
	s.team = team
	return authorized
}

// failStatement marks an open transaction as failed and returns the answer with
// the resulting state.
func (s *caller) failStatement(a statement.Answer) statement.Answer {
	s.rollbackTx()
	s.session.FailTransaction()
	a.State = s.session.State
	return a
}

// failPossibleCommit is failStatement for a statement that may be a commit: a failed
// commit also ends its transaction.
func (s *caller) failPossibleCommit(st statement.Statement, a statement.Answer) statement.Answer {
	a = s.failStatement(a)
	if st.Kind == statement.Commit {
		s.session.EndTransaction()
		a.State = s.session.State
	}
	return a
}

// rollbackTx is rollbackTxLocked for the running worker, which does not need mu.
func (s *caller) rollbackTx() {
	if s.tx != nil {
		s.tx.Rollback()
		s.tx = nil
	}
}

// runOnMember runs a statement on a member, within the team's rate limit.
func (s *caller) runOnMember(st statement.Statement, route catalog.Route, receivedAt time.Duration) replicaset.Outcome {
	req := s.newRequest(st, route, receivedAt)
	set := s.gateway.backend.AwaitSet(s.ctx, route.Service, req.StartDeadline)
	if set == nil {
		return replicaset.Outcome{Answer: s.failStatement(statement.ErrorAnswer(statement.Busy, "no member of the service is known", statement.Idle))}
	}
	if s.tx != nil {
		return s.runInTransaction(set, req)
	}
	if retryAfter, admitted := s.gateway.backend.AdmitOperation(s.ctx, s.team); !admitted {
		return s.refuseOperation(st, retryAfter)
	}
	out := s.startOperation(set, req)
	// A busy answer without a member's signature is from this proxy. No member ran the
	// operation if no attempt may have.
	if out.Answer.Code == statement.Busy && out.Answer.Signature == "" && out.Runs == 0 && s.tx == nil {
		s.gateway.backend.RefundOperation(s.team)
	}
	return out
}

// admitRerun asks for the right to run an operation on a member once more. A member runs
// it again if an answer was lost, and the team's limit counts each run.
func (s *caller) admitRerun(ctx context.Context) bool {
	_, admitted := s.gateway.backend.AdmitOperation(ctx, s.team)
	return admitted
}

// startOperation runs a statement outside a transaction, or the first statement
// of a transaction that needs a member.
func (s *caller) startOperation(set *replicaset.Set, req replicaset.Request) replicaset.Outcome {
	if s.session.State == statement.InTransaction {
		return s.runInTransaction(set, req)
	}
	if req.Statement.Writes() {
		out := set.Write(s.ctx, req)
		out.Answer = s.recordCommit(out.Answer, req)
		return out
	}
	return set.Read(s.ctx, req)
}

// refuseOperation refuses an operation that exceeds the team's limit.
func (s *caller) refuseOperation(st statement.Statement, retryAfter time.Duration) replicaset.Outcome {
	a := s.failPossibleCommit(st, statement.ErrorAnswer(statement.Busy, replicaset.RetryHint(retryAfter), statement.Idle))
	return replicaset.Outcome{Answer: a, Cause: eventlog.ReasonQuota}
}

// recordCommit records the log position of a commit and returns the caller's answer.
func (s *caller) recordCommit(a statement.Answer, req replicaset.Request) statement.Answer {
	if a.Code == statement.InDoubt {
		s.gateway.backend.ObserveUnansweredCommit(req.Route.Service)
	}
	if a.Code != statement.OK {
		return a
	}
	if !s.gateway.backend.ObserveCommit(req.Route.Service, a.Position, req.Received) {
		return statement.ErrorAnswer(statement.InDoubt, "the primary is being replaced; the commit may not have been kept", statement.Idle)
	}
	if s.session.LastCommit.Less(a.Position) {
		s.session.LastCommit = a.Position
	}
	return a
}

func (s *caller) newRequest(st statement.Statement, route catalog.Route, receivedAt time.Duration) replicaset.Request {
	endDeadline := receivedAt + route.StatementTimeout - responseMargin
	if plan := s.gateway.stop.Load(); plan != nil {
		endDeadline = min(endDeadline, plan.AnswerDeadline())
	}
	startDeadline := endDeadline - executionMargin
	onTimeUntil := receivedAt + time.Duration(connpool.OnTimeWaitFraction*float64(route.TargetLatency))
	return replicaset.Request{
		Statement: st, Values: s.session.Values(), LastCommit: s.session.LastCommit, Route: route, Team: s.team.Name,
		ReadOnly: s.session.ReadOnly, Received: receivedAt,
		TargetDeadline: receivedAt + route.TargetLatency, OnTimeUntil: min(onTimeUntil, startDeadline), StartDeadline: startDeadline, Deadline: endDeadline,
		AttemptTimeout: max(time.Duration(attemptFraction*float64(route.TargetLatency)), minAttemptTime),
		AdmitRerun:     s.admitRerun,
	}
}

// runInTransaction runs a statement in the open transaction. The first statement
// selects the transaction's member.
func (s *caller) runInTransaction(set *replicaset.Set, req replicaset.Request) replicaset.Outcome {
	out := replicaset.Outcome{}
	if s.tx == nil {
		tx, beginOutcome := set.Begin(s.ctx, req)
		out = beginOutcome
		if tx == nil {
			out.Answer = s.failPossibleCommit(req.Statement, out.Answer)
			return out
		}
		s.tx = tx
	}
	out.Member, out.Gate = s.tx.Member(), s.tx.Gate()
	switch req.Statement.Kind {
	case statement.Commit:
		out.Answer = s.tx.Commit(s.ctx, req, s.session.Wrote)
		if s.session.Wrote {
			out.Answer = s.recordCommit(out.Answer, req)
		}
		s.tx = nil
		s.session.EndTransaction()
	default:
		s.session.Wrote = s.session.Wrote || req.Statement.Writes()
		out.Answer = s.tx.Do(s.ctx, req)
		if out.Answer.State != statement.InTransaction {
			out.Answer = s.failStatement(out.Answer)
		}
	}
	return out
}
