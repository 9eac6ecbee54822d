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
	op := forward(st)
	op.MinPosition = minPosition
	return c.runAs(op, st, deadline)
}

// forward returns the operation that sends a caller's statement unchanged.
func forward(st statement.Statement) statement.Operation {
	return statement.Operation{Verb: statement.Forward, Kind: st.RunKind(), ID: st.ID, Text: st.Text}
}

// runSettled is run for a statement whose refusal is a promise, or which others follow in its
// transaction: if a later error on the connection was taken for its answer, the statement's own
// one arrives before the acknowledgement of another operation.
func (c *Conn) runSettled(st statement.Statement, deadline time.Duration) (exchange, error) {
	x, err := c.run(st, logpos.Position{}, deadline)
	canSettle := c.tracker.State() == statement.Idle || c.tracker.State() == statement.InTransaction && len(c.values) > 0
	if err == nil && c.tracker.Unsettled() && canSettle {
		err = c.settle(deadline)
	}
	return x, err
}

// runAs sends an operation that forward has returned for the statement. An Execute is sent under
// the name that its shape has on the connection.
func (c *Conn) runAs(op statement.Operation, st statement.Statement, deadline time.Duration) (exchange, error) {
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
