package replicaset

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// knockTimeout bounds a knock: several round trips between regions.
const knockTimeout = 300 * time.Millisecond

// Knock looks, without waiting, whether the machine of a member still refuses
// connections. The member itself is not asked, which would cost it a login, and
// the pause of the pool after a failed connection does not hold this up.
func (s *Set) Knock(ctx context.Context, m *Member) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, knockTimeout)
		defer cancel()
		sent := clock.Now()
		m.dialled(sent)
		conn, err := s.dial(ctx, "tcp", m.address)
		if err != nil {
			m.failed(sent, failureOf(err))
			return
		}
		m.listens()
		// Nothing was sent on it, so there is nothing to lose.
		_ = conn.Close()
	}()
}

// Examine looks, without waiting, whether a member that is in doubt still lives.
func (s *Set) Examine(ctx context.Context, m *Member) {
	if m.refusing() {
		s.Knock(ctx, m)
		return
	}
	s.Check(ctx, m)
}

// Resumed notes that this host itself stood still until now. What it could not
// hear meanwhile is no evidence against any member.
func (s *Set) Resumed(now time.Duration) {
	for _, m := range s.Members() {
		m.resumed(now)
	}
}
