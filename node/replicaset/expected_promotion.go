package replicaset

import (
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// expectedPromotion is a promotion that this host has requested.
type expectedPromotion struct {
	member string
	// after is the newest term before it.
	after logpos.Term
	// received is the end of the member's log, with which its term begins.
	received logpos.Position
}

// ExpectPromotion records that this host requests the promotion of a member, whose log
// ends at a position.
func (s *Set) ExpectPromotion(id string, received logpos.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expected = expectedPromotion{member: id, after: max(s.primaryTracker.Term(), s.floors.Term()), received: received}
}

// observeExpectedPromotion vouches for the member that this host has promoted. It is called
// with mu held.
func (s *Set) observeExpectedPromotion(m *Member, term logpos.Term) {
	if s.expected.member == m.id && term > s.expected.after {
		s.highWaterMark.Vouch(succession.LogMark{Member: m.id, Term: term, Position: s.expected.received}, clock.Now())
		s.expected = expectedPromotion{}
	}
}
