package replicaset

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

const (
	// probeInterval spaces the probes of members in doubt. A probe takes a slot
	// of the member for a moment.
	probeInterval = 250 * time.Millisecond
	// TidyInterval is how often idle connections are looked over.
	TidyInterval = time.Second
	// controlTimeout bounds a probe or an order, the wait for a connection
	// included.
	controlTimeout = 700 * time.Millisecond
	// controlPriority is above every priority that a route can have.
	controlPriority = -1
)

// Probe runs until the context ends. While the primary is unknown or a member
// is failing it asks them for their status; traffic tells the rest.
func (s *Set) Probe(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.attention:
		}
		for s.probeDoubtful(ctx) && clock.Sleep(ctx, probeInterval) {
		}
	}
}

// Tick looks over idle connections, and has members in doubt probed. It is called
// each TidyInterval and does not wait.
func (s *Set) Tick(now time.Duration) {
	_, known := s.Primary()
	members := s.Members()
	doubtful := !known && len(members) > 0
	for _, m := range members {
		m.closeSurplus(now)
		if !s.probes(m) {
			m.expireDoubt(now)
		}
		doubtful = doubtful || m.Doubtful(now)
	}
	if doubtful {
		s.wake()
	}
}

// probeDoubtful probes the members in doubt that are this host's to probe; it
// reports whether there are any in doubt. Load pattern: a primary is lost, and
// each host of a large fleet has to learn of the next one. A probe from a host
// that keeps no connection costs the member a login, 12 to 27 ms of a slot, so
// that a few dozen hosts would leave it nothing to serve with. They ask their
// peers instead.
func (s *Set) probeDoubtful(ctx context.Context) bool {
	now := clock.Now()
	_, known := s.Primary()
	if !known {
		s.askPeers(now)
	}
	doubtful := false
	for _, m := range s.Members() {
		if known && !m.Doubtful(now) || m.absent(now) {
			continue
		}
		doubtful = true
		if s.probes(m) {
			s.Check(ctx, m)
		}
	}
	return doubtful
}

// probes reports whether a member is this host's to probe: it keeps connections
// to it, or it votes on the loss of this primary.
func (s *Set) probes(m *Member) bool {
	s.mu.Lock()
	judges := s.votes && s.belief.Primary() == m.id
	s.mu.Unlock()
	return judges || m.keepsConnections()
}

// Check asks a member for its status without waiting. What comes of it is kept
// in the member's health and in the belief of who leads.
func (s *Set) Check(ctx context.Context, m *Member) {
	go func() {
		// A failure is in the member's health; there is nothing else to do.
		_, _ = s.Status(ctx, m)
	}()
}

// Status asks a member for its status.
func (s *Set) Status(ctx context.Context, m *Member) (statement.Status, error) {
	return s.Order(ctx, m, statement.Operation{Verb: statement.ReportStatus})
}

// Order sends a status request or an order to a member and returns the status
// that it answers with.
func (s *Set) Order(ctx context.Context, m *Member, op statement.Operation) (statement.Status, error) {
	now := clock.Now()
	until := now + controlTimeout
	c, err := m.acquire(ctx, connpool.Waiter{AnyTeam: true, Priority: controlPriority, TargetDeadline: now, OnTimeUntil: until, StartDeadline: until})
	if err != nil {
		return statement.Status{}, err
	}
	defer m.release(c)
	sent := clock.Now()
	a, err := c.Do(op, until)
	if err != nil {
		return statement.Status{}, err
	}
	if a.Code != statement.OK {
		return statement.Status{}, &RefusedError{Reason: "the member answered " + a.Code.String() + " " + a.Detail}
	}
	st, err := s.proto.DecodeStatus(a)
	if err != nil {
		return st, err
	}
	if st.Primary {
		s.saysToLead(m, st, a.Position, sent)
	}
	return st, nil
}
