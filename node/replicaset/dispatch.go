package replicaset

import (
	"context"
	"errors"

	"github.com/dotterelswitch/dotterelswitch/core/gateload"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// dispatch runs a read, a write or the begin of a transaction. It uses a connection
// of this host if this host is a gate of the member, and a gate on another host
// otherwise. If no gate is usable, it falls back to this host. It also returns the
// address of the gate; empty for this host.
func (a *attempts) dispatch(ctx context.Context, m *Member, j Job) (Result, string) {
	s := a.set
	j.Member = m.id
	j.Owner = s.owner
	for _, address := range m.route(j.Request.Team, clock.Now()) {
		if s.remote == nil || !s.gateHealth.usable(address, clock.Now()) {
			continue
		}
		res := s.remoteRun(ctx, m, address, j)
		a.recordRun(j.Kind, res)
		gateErr, isGateErr := res.gateError()
		if isGateErr && (!gateErr.JobMayHaveArrived || j.repeatable()) && ctx.Err() == nil && clock.Now() < j.Request.StartDeadline && a.admitRun(ctx) {
			continue
		}
		return res, address
	}
	res := s.localRun(ctx, m, j)
	a.recordRun(j.Kind, res)
	return res, ""
}

// localRun runs a job on this host and records what the result shows about the
// member.
func (s *Set) localRun(ctx context.Context, m *Member, j Job) Result {
	res := s.Execute(ctx, j)
	s.observeResult(m, res)
	return res
}

// remoteRun runs a job on another host and records what the result shows about
// the member. The start of the call is used as the time at which the member was
// asked: the actual time is unknown, and an earlier one is safe.
func (s *Set) remoteRun(ctx context.Context, m *Member, address string, j Job) Result {
	began := clock.Now()
	m.remoteStarted()
	call := gateload.Call{Gate: address, Priority: j.Request.Route.Priority, StartedAt: began}
	m.callStarted(call)
	s.gateHealth.callStarted(address, began)
	res := s.runMonitored(ctx, address, j)
	_, isGateErr := res.gateError()
	now := clock.Now()
	s.gateHealth.callEnded(address, !isGateErr, now)
	m.remoteEnded(began, now, res.Answer.Signature != "")
	m.callEnded(call, res, now)
	m.observeRemoteOutcome(began, now, res, j.Request.Team)
	res = s.confirmResult(m, res, began)
	s.observeRemoteFloor(res.Floor)
	s.observeResult(m, res)
	return res
}

// observeResult records what a result shows about a member: that it is dead, is
// not the primary, or at which log position it is.
func (s *Set) observeResult(m *Member, res Result) {
	var refused *RefusedError
	if errors.As(res.Err, &refused) && refused.MemberDead {
		m.recordReportedDead(clock.Now())
	}
	if res.Err != nil {
		return
	}
	now := clock.Now()
	m.observePosition(res.Answer.Position, now)
	switch res.Answer.Code {
	case statement.ReadOnlyMember:
		s.observeDenial(m)
	case statement.WrongMember:
		m.observeWrongMember(now)
		s.observeDenial(m)
	}
}

// stepTx runs a job of an open transaction on the host that runs the transaction.
func (s *Set) stepTx(ctx context.Context, m *Member, address string, j Job) Result {
	j.Member, j.Owner = m.id, s.owner
	if address != "" {
		return s.remoteRun(ctx, m, address, j)
	}
	return s.localRun(ctx, m, j)
}
