package replicaset

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// dispatch carries a first step out: on a connection of this host if it is a
// gate of the member, else on one of the gates, else here all the same. It
// also returns the gate, empty for this host.
func (s *Set) dispatch(ctx context.Context, m *Member, j Job) (Result, string) {
	j.Member = m.id
	j.Owner = s.owner
	for _, address := range m.gateAddresses() {
		if s.remote == nil || !s.gateHealth.usable(address, clock.Now()) {
			continue
		}
		res := s.remoteRun(ctx, m, address, j)
		var gate *GateError
		if errors.As(res.Err, &gate) {
			if !gate.Sent && ctx.Err() == nil {
				continue
			}
			return res, address
		}
		return res, address
	}
	res := s.Execute(ctx, j)
	s.learn(m, res, 0, false)
	return res, ""
}

// remoteRun runs a job on another host and learns from the result. What the
// member was asked was sent after the call began.
func (s *Set) remoteRun(ctx context.Context, m *Member, address string, j Job) Result {
	began := clock.Now()
	m.remoteStarted()
	s.gateHealth.started(address, began)
	res := s.remote.Run(ctx, address, s.service, j)
	var gate *GateError
	s.gateHealth.ended(address, !errors.As(res.Err, &gate), clock.Now())
	m.remoteEnded(began, clock.Now(), res.Answer.Signature != "")
	s.learn(m, res, began, true)
	return res
}

// learn takes what a result shows of a member: its lead, and how far its log
// reaches.
func (s *Set) learn(m *Member, res Result, sent time.Duration, remote bool) {
	var refused *RefusedError
	if errors.As(res.Err, &refused) && refused.Dead {
		m.reportedDead(clock.Now())
	}
	if res.Err != nil {
		return
	}
	if res.Proof && remote {
		s.proved(m, res.Answer.Position, sent)
	}
	switch res.Answer.Code {
	case statement.ReadOnlyMember:
		s.denied(m)
	case statement.Behind:
		m.lacked(clock.Now())
	}
}

// step carries out a later step of a transaction where it was opened.
func (s *Set) step(ctx context.Context, m *Member, address string, j Job) Result {
	j.Member, j.Owner = m.id, s.owner
	if address != "" {
		return s.remoteRun(ctx, m, address, j)
	}
	res := s.Execute(ctx, j)
	s.learn(m, res, 0, false)
	return res
}
