package replicaset

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// A host that failed a job is passed over: at first for about the time in which
// a process restarts, then for longer each time, because each try costs a
// caller the time of a dial.
const (
	avoidFirst = 400 * time.Millisecond
	avoidMax   = 5 * time.Second
)

// avoided remembers the hosts that lately failed. Its lock is a leaf.
type avoided struct {
	mu    sync.Mutex
	hosts map[string]*avoidance
}

// avoidance is how long one host is passed over.
type avoidance struct {
	until, pause time.Duration
}

func (a *avoided) add(address string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hosts == nil {
		a.hosts = map[string]*avoidance{}
	}
	h, found := a.hosts[address]
	if !found {
		h = &avoidance{pause: avoidFirst / 2}
		a.hosts[address] = h
	}
	if now < h.until {
		return
	}
	h.pause = min(2*h.pause, avoidMax)
	h.until = now + h.pause
}

// clear forgets the failures of a host that has answered.
func (a *avoided) clear(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.hosts, address)
}

func (a *avoided) has(address string, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, found := a.hosts[address]
	return found && now < h.until
}

// dispatch carries a first step out: on a connection of this host if it is a
// gate of the member, else on one of the gates, else here all the same. It
// also returns the gate, empty for this host.
func (s *Set) dispatch(ctx context.Context, m *Member, j Job) (Result, string) {
	j.Member = m.id
	j.Owner = s.owner
	for _, address := range m.gateAddresses() {
		if s.remote == nil || s.avoid.has(address, clock.Now()) {
			continue
		}
		res := s.remoteRun(ctx, m, address, j)
		var gate *GateError
		if errors.As(res.Err, &gate) {
			s.avoid.add(address, clock.Now())
			if !gate.Sent && ctx.Err() == nil {
				continue
			}
			return res, address
		}
		s.avoid.clear(address)
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
	res := s.remote.Run(ctx, address, s.service, j)
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
