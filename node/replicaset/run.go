package replicaset

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// exchange is one answer on a connection, with when its request was sent.
type exchange struct {
	answer statement.Answer
	sent   time.Duration
	// handed is set once the caller's own statement may have reached the
	// member, so that only its answer tells what became of it.
	handed bool
}

// run sends a caller's statement on a connection. The connection has the
// caller's session values already.
func (c *Conn) run(st statement.Statement, after logpos.Position, until time.Duration) (exchange, error) {
	op := statement.Operation{Verb: statement.Forward, ID: st.ID, Text: st.Text, MinPosition: after}
	if st.Kind != statement.Execute {
		return c.send(op, until)
	}
	// A connection may have lost a prepared name; the answer then says that
	// nothing ran, and the name is defined once more.
	const tries = 2
	var x exchange
	for range tries {
		name, err := c.define(st.Shape, until)
		if err != nil {
			return exchange{}, err
		}
		op.Verb, op.Name, op.Text = statement.ExecutePrepared, name, st.Value
		x, err = c.send(op, until)
		if err != nil || x.answer.Code != statement.UnknownStatement {
			return x, err
		}
		c.forget(st.Shape)
	}
	return x, nil
}

func (c *Conn) send(op statement.Operation, until time.Duration) (exchange, error) {
	sent := clock.Now()
	a, err := c.Do(op, until)
	return exchange{answer: a, sent: sent, handed: true}, err
}
