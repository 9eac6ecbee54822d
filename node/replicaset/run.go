package replicaset

import (
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// exchange is an answer received on a connection and when its request was sent.
type exchange struct {
	answer statement.Answer
	sentAt time.Duration
	// statementMayHaveRun is set once the caller's own statement may have reached
	// the member, so that without an answer its outcome is unknown.
	statementMayHaveRun bool
}

// run sends a caller's statement on a connection that already has the caller's
// session values.
func (c *Conn) run(st statement.Statement, minPosition logpos.Position, deadline time.Duration) (exchange, error) {
	op := statement.Operation{Verb: statement.Forward, Kind: st.RunKind(), ID: st.ID, Text: st.Text, MinPosition: minPosition}
	if st.Kind != statement.Execute {
		return c.send(op, deadline)
	}
	// The member may have dropped a prepared name. Its answer then says that
	// nothing ran, and the shape is prepared again.
	const tries = 2
	var x exchange
	for range tries {
		name, err := c.prepare(st.Shape, deadline)
		if err != nil {
			return exchange{}, err
		}
		op.Verb, op.Name, op.Text = statement.ExecutePrepared, name, st.Value
		x, err = c.send(op, deadline)
		if err != nil || x.answer.Code != statement.UnknownStatement {
			return x, err
		}
		c.forgetPrepared(st.Shape)
	}
	return x, nil
}

func (c *Conn) send(op statement.Operation, deadline time.Duration) (exchange, error) {
	sent := clock.Now()
	a, err := c.Do(op, deadline)
	var noResponse *NoResponseError
	notSent := errors.As(err, &noResponse) && noResponse.NotSent
	return exchange{answer: a, sentAt: sent, statementMayHaveRun: !notSent}, err
}
