package replicaset

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// portProbeTimeout allows for several round trips between regions.
const portProbeTimeout = 300 * time.Millisecond

// ProbePort checks in the background whether a member's machine still refuses
// connections. It does not log in, so it occupies no slot of the member, and it
// ignores the pool's backoff.
func (s *Set) ProbePort(ctx context.Context, m *Member) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, portProbeTimeout)
		defer cancel()
		sent := clock.Now()
		m.dialStarted(sent)
		conn, err := s.dial(ctx, "tcp", m.address)
		if err != nil {
			m.exchangeFailed(sent, classifyFailure(err))
			return
		}
		m.probeAccepted()
		// Nothing was sent, so an error on close does not matter.
		_ = conn.Close()
	}()
}

// CheckLiveness checks a suspected member in the background.
func (s *Set) CheckLiveness(ctx context.Context, m *Member) {
	if m.refusing() {
		s.ProbePort(ctx, m)
		return
	}
	s.RefreshStatus(ctx, m)
}

// Resumed records that this process was suspended until now. Answers missed
// meanwhile are not evidence against any member.
func (s *Set) Resumed(now time.Duration) {
	for _, m := range s.Members() {
		m.resumed(now)
	}
}
