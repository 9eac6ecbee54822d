package correlate_test

import (
	"math/rand/v2"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// repeated is an answer under way and the number of the operation that it belongs to.
type repeated struct {
	answer statement.Answer
	of     int
}

// copyingMember sends each answer in order, and any of the earlier ones again at any time.
type copyingMember struct {
	random *rand.Rand
	// copyOneIn is the inverse of the probability of each further copy.
	copyOneIn int
	// stream holds the answers under way, past all that were sent.
	stream, past []repeated
	sent         int
	state        statement.TxState
	offset       uint64
	// known is the newest position that is certain.
	known logpos.Position
}

// send sends the answer to the latest operation, with copies before and after it.
func (m *copyingMember) send(a statement.Answer) {
	a.State, a.Position = m.state, logpos.Position{Term: 1, Offset: logpos.Offset(m.offset)}
	m.sendCopies()
	own := repeated{a, m.sent}
	m.stream, m.past = append(m.stream, own), append(m.past, own)
	m.sendCopies()
}

func (m *copyingMember) sendCopies() {
	for len(m.past) > 0 && m.random.IntN(m.copyOneIn) == 0 {
		m.stream = append(m.stream, m.past[m.random.IntN(len(m.past))])
	}
}

// receive returns the next answer of the stream.
func (m *copyingMember) receive() repeated {
	got := m.stream[0]
	m.stream = m.stream[1:]
	return got
}

// notePosition records the position of an answer that is certain.
func (m *copyingMember) notePosition(p logpos.Position) {
	if m.known.Less(p) {
		m.known = p
	}
}
