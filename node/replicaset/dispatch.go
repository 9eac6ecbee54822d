package replicaset

import (
	"context"
	"errors"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// dispatch carries a first step out: on a connection of this host if it is a
// gate of the member, else on one of the gates, else here all the same. It
// also returns the gate, empty for this host.
func (s *Set) dispatch(ctx context.Context, m *Member, j Job) (Result, string) {
	j.Member = m.id
	j.Owner = s.owner
	for _, address := range m.route(j.Work.Team, clock.Now()) {
		if s.remote == nil || !s.gateHealth.usable(address, clock.Now()) {
			continue
		}
		res := s.remoteRun(ctx, m, address, j)
		gate, failed := res.gateError()
		if failed && (!gate.Sent || j.repeatable()) && ctx.Err() == nil && clock.Now() < j.Work.StartBy {
			continue
		}
		return res, address
	}
	return s.localRun(ctx, m, j), ""
}

// localRun runs a job on this host and learns from the result.
func (s *Set) localRun(ctx context.Context, m *Member, j Job) Result {
	res := s.Execute(ctx, j)
	s.learn(m, res)
	return res
}

// remoteRun runs a job on another host and learns from the result. What the
// member was asked was sent after the call began.
func (s *Set) remoteRun(ctx context.Context, m *Member, address string, j Job) Result {
	began := clock.Now()
	m.remoteStarted()
	s.gateHealth.started(address, began)
	res := s.runWatched(ctx, address, j)
	_, failed := res.gateError()
	now := clock.Now()
	s.gateHealth.ended(address, !failed, now)
	m.remoteEnded(began, now, res.Answer.Signature != "")
	if res.Err == nil && res.Proof {
		s.proved(m, res.Answer.Position, began)
	}
	s.hear(res.Floor)
	s.learn(m, res)
	return res
}

// learn takes what a result shows of a member: that it is dead, does not lead,
// or is behind.
func (s *Set) learn(m *Member, res Result) {
	var refused *RefusedError
	if errors.As(res.Err, &refused) && refused.Dead {
		m.reportedDead(clock.Now())
	}
	if res.Err != nil {
		return
	}
	now := clock.Now()
	m.holds(res.Answer.Position, now)
	switch res.Answer.Code {
	case statement.ReadOnlyMember:
		s.denied(m)
	case statement.WrongMember:
		m.missed(now)
		s.denied(m)
	}
}

// step carries out a later step of a transaction where it was opened.
func (s *Set) step(ctx context.Context, m *Member, address string, j Job) Result {
	j.Member, j.Owner = m.id, s.owner
	if address != "" {
		return s.remoteRun(ctx, m, address, j)
	}
	return s.localRun(ctx, m, j)
}
