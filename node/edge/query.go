package edge

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

const (
	// timeoutMargin is what is left of a route's timeout for the way back.
	timeoutMargin = 20 * time.Millisecond
	// runMargin is what is left of the timeout for running a statement that has
	// waited: the queue of a busy member (24 statements of 14 ms on three slots)
	// and a round trip between regions.
	runMargin = 150 * time.Millisecond
	// attemptShare and minAttempt bound one attempt of a read: a member whose
	// answer got lost looks like one that is slow, and another can answer in
	// time. Half of a target is more than a full queue of a member and the
	// longest statement take on the deployments.
	attemptShare = 0.5
	minAttempt   = 250 * time.Millisecond
)

// query runs one statement and answers it.
func (s *caller) query(a arrival) {
	c := s.gateway.backend.Catalog()
	record := Record{Database: s.state.Database, Key: s.credential.Fingerprint(), Version: c.Version}
	out := s.answer(c, a, &record)
	if out.Answer.Code != statement.OK && out.Cause == "" {
		out.Cause = out.Answer.Detail
	}
	s.send(s.gateway.proto.EncodeAnswer(out.Answer))
	record.Team, record.Outcome, record.Took = s.team.Name, out, clock.Now()-a.at
	s.gateway.observer.Finished(record)
}

// answer returns what becomes of one statement under a configuration.
func (s *caller) answer(c *catalog.Catalog, a arrival, record *Record) replicaset.Outcome {
	st, known := s.state.ResolvePrepared(a.message.Statement)
	record.Statement = st
	route, found := c.Route(s.state.Database)
	if found && !s.admit(c, route) && st.Kind != statement.Rollback {
		return replicaset.Outcome{Answer: s.failWith(st, statement.ErrorAnswer(statement.Unauthorized, "no team holds this session's key any more", statement.Idle))}
	}
	if answer, local := s.state.AnswerLocally(st); local {
		if st.Kind == statement.Rollback && s.state.State == statement.Idle {
			s.dropOwnTx()
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
	return s.runRemote(st, route, a.at)
}

// admit finds the caller's team under a configuration. It reports false for a
// caller that may not use the route: its key was taken away while its session
// was open. A transaction that began in the name of another team is dropped, as
// its connection belongs to that team.
func (s *caller) admit(c *catalog.Catalog, route catalog.Route) bool {
	team, admitted := c.Authorize(route, s.credential)
	if s.tx != nil && team.Name != s.team.Name {
		s.dropOwnTx()
		s.state.AbortTransaction("the caller's team has changed")
	}
	s.team = team
	return admitted
}

// failStatement fails the open transaction, if there is one, along with an
// answer.
func (s *caller) failStatement(a statement.Answer) statement.Answer {
	s.dropOwnTx()
	s.state.FailTransaction()
	a.State = s.state.State
	return a
}

// failWith is failStatement for a statement that may be a commit, which ends its
// transaction whatever comes of it.
func (s *caller) failWith(st statement.Statement, a statement.Answer) statement.Answer {
	a = s.failStatement(a)
	if st.Kind == statement.Commit {
		s.state.EndTransaction()
		a.State = s.state.State
	}
	return a
}

func (s *caller) dropOwnTx() {
	if s.tx != nil {
		s.tx.Rollback()
		s.tx = nil
	}
}

// runRemote runs a statement on a member.
func (s *caller) runRemote(st statement.Statement, route catalog.Route, arrived time.Duration) replicaset.Outcome {
	w := s.newWork(st, route, arrived)
	set := s.gateway.backend.AwaitSet(s.ctx, route.Service, w.StartDeadline)
	if set == nil {
		return replicaset.Outcome{Answer: s.failStatement(statement.ErrorAnswer(statement.Busy, "no member of the service is known", statement.Idle))}
	}
	if s.tx != nil {
		return s.inTransaction(set, w)
	}
	if retryAfter, admitted := s.gateway.backend.AdmitOperation(s.ctx, s.team); !admitted {
		return s.refuseOperation(st, retryAfter)
	}
	out := s.startOperation(set, w)
	if out.Answer.Code == statement.Busy && out.Answer.Signature == "" && s.tx == nil {
		s.gateway.backend.RefundOperation(s.team)
	}
	return out
}

// startOperation runs the first statement of an operation: a single one, or the
// first of a transaction that needs a member.
func (s *caller) startOperation(set *replicaset.Set, w replicaset.Request) replicaset.Outcome {
	if s.state.State == statement.Open {
		return s.inTransaction(set, w)
	}
	if w.Statement.Writes() {
		out := set.Write(s.ctx, w)
		s.noteCommit(out.Answer)
		return out
	}
	return set.Read(s.ctx, w)
}

// refuseOperation refuses an operation beyond the team's limit. Nothing of it was
// sent to a member.
func (s *caller) refuseOperation(st statement.Statement, retryAfter time.Duration) replicaset.Outcome {
	a := s.failWith(st, statement.ErrorAnswer(statement.Busy, replicaset.RetryHint(retryAfter), statement.Idle))
	return replicaset.Outcome{Answer: a, Cause: eventlog.ReasonQuota}
}

// noteCommit remembers the position of a commit that the caller is told of.
func (s *caller) noteCommit(a statement.Answer) {
	if a.Code == statement.OK && s.state.LastCommit.Less(a.Position) {
		s.state.LastCommit = a.Position
	}
}

func (s *caller) newWork(st statement.Statement, route catalog.Route, arrived time.Duration) replicaset.Request {
	endBy := arrived + route.StatementTimeout - timeoutMargin
	startBy := endBy - runMargin
	freshBy := arrived + time.Duration(connpool.OnTimeWaitFraction*float64(route.TargetLatency))
	return replicaset.Request{
		Statement: st, Values: s.state.Values(), LastCommit: s.state.LastCommit, Route: route, Team: s.team.Name,
		ReadOnly: s.state.ReadOnly, Received: arrived,
		TargetDeadline: arrived + route.TargetLatency, OnTimeUntil: min(freshBy, startBy), StartDeadline: startBy, Deadline: endBy,
		AttemptTimeout: max(time.Duration(attemptShare*float64(route.TargetLatency)), minAttempt),
	}
}

// inTransaction runs a statement in the open transaction. The transaction gets
// its member with its first statement.
func (s *caller) inTransaction(set *replicaset.Set, w replicaset.Request) replicaset.Outcome {
	out := replicaset.Outcome{}
	if s.tx == nil {
		tx, begun := set.Begin(s.ctx, w)
		out = begun
		if tx == nil {
			out.Answer = s.failWith(w.Statement, out.Answer)
			return out
		}
		s.tx = tx
	}
	out.Member, out.Gate = s.tx.Member(), s.tx.Gate()
	switch w.Statement.Kind {
	case statement.Commit:
		out.Answer = s.tx.Commit(s.ctx, w, s.state.Wrote)
		if s.state.Wrote {
			s.noteCommit(out.Answer)
		}
		s.tx = nil
		s.state.EndTransaction()
	default:
		s.state.Wrote = s.state.Wrote || w.Statement.Writes()
		out.Answer = s.tx.Do(s.ctx, w)
		if out.Answer.State != statement.Open {
			out.Answer = s.failStatement(out.Answer)
		}
	}
	return out
}
