package replicaset

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/correlate"
	"github.com/dotterelswitch/dotterelswitch/core/session"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// connectTimeout bounds dial and login. It allows for a full login queue at
	// the member, but ends well before failure detection takes the member for
	// silent.
	connectTimeout = 600 * time.Millisecond
	// readBufferBytes fits a typical answer (about 1 kB) in one read.
	readBufferBytes = 4 << 10
	// maxPreparedStatements bounds the prepared statements per connection; at
	// the limit all of them are discarded.
	maxPreparedStatements = 500
)

// Conn is one connection to a member. It has one user at a time.
type Conn struct {
	id     connpool.ConnID
	member *Member
	// team is the team that the connection was opened for; empty for the
	// proxy's own connections.
	team    string
	netConn net.Conn
	rawConn syscall.RawConn
	reader  *bufio.Reader
	proto   Protocol
	// values are the session values acknowledged by the member.
	values map[string]string
	// preparedNames maps shapes to the names under which they are prepared on
	// this connection.
	preparedNames map[statement.Shape]string
	// tracker attributes the answers on this connection.
	tracker correlate.Tracker
	// certain is set if the latest answer's position is of a time after its operation was sent.
	certain bool
	// broken is set once the connection is unusable.
	broken  bool
	takenAt time.Duration
	// inUse is set while the connection has a user; the member's mutex guards it.
	inUse bool
	// openedAt is when the login was sent, answeredAt when the latest request that the
	// member answered was. The user of the connection sets answeredAt.
	openedAt, answeredAt time.Duration
	// closed is set once the member has closed the connection.
	closed atomic.Bool
	// workKind is the kind of the current user's statements.
	workKind string
	nextName int
}

// connect opens a connection on behalf of a team and logs in.
func connect(ctx context.Context, dial DialFunc, proto Protocol, m *Member, id connpool.ConnID, team string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	m.dialStarted(clock.Now())
	netConn, err := dial(ctx, "tcp", m.address)
	if err != nil {
		return nil, &ConnectError{Member: m.id, Failure: classifyFailure(err), Err: err}
	}
	openedAt := clock.Now()
	m.dialSucceeded(openedAt)
	c := &Conn{
		id: id, member: m, team: team, openedAt: openedAt, answeredAt: openedAt, netConn: netConn, proto: proto, reader: bufio.NewReaderSize(netConn, readBufferBytes),
		values: map[string]string{}, preparedNames: map[statement.Shape]string{},
	}
	if sysConn, ok := netConn.(syscall.Conn); ok {
		if c.rawConn, err = sysConn.SyscallConn(); err != nil {
			_ = netConn.Close()
			return nil, &ConnectError{Member: m.id, Err: err}
		}
	}
	if err := c.login(ctx, m); err != nil {
		_ = netConn.Close()
		return nil, err
	}
	return c, nil
}

func (c *Conn) login(ctx context.Context, m *Member) error {
	deadline, _ := ctx.Deadline()
	if err := c.netConn.SetDeadline(deadline); err != nil {
		return &ConnectError{Member: m.id, Err: err}
	}
	login, err := c.proto.EncodeLogin(m.service, c.team, m.id)
	if err != nil {
		return &ConnectError{Member: m.id, Err: err}
	}
	if _, err := c.netConn.Write(login); err != nil {
		return &ConnectError{Member: m.id, Failure: classifyFailure(err), Err: err}
	}
	a, err := c.proto.ReadLoginAnswer(c.reader)
	if err != nil {
		return &ConnectError{Member: m.id, Failure: classifyFailure(err), Err: err}
	}
	if a.Code != statement.OK {
		return &ConnectError{Member: m.id, Code: a.Code, Err: errors.New(a.Code.String() + " " + a.Detail)}
	}
	return nil
}

// Do sends one operation and waits for its answer until the deadline. Answers that repeat
// those of earlier operations are skipped. Any error is a *NoResponseError and leaves the
// connection broken. The position in the answer is zero if it may be that of an earlier one.
// An operation that cannot be sent is answered as invalid, and the connection is as before.
func (c *Conn) Do(op statement.Operation, deadline time.Duration) (statement.Answer, error) {
	message, err := c.proto.Encode(op)
	if err != nil {
		return statement.ErrorAnswer(statement.Invalid, err.Error(), c.tracker.State()), nil
	}
	if err := c.dropEarlyAnswers(op); err != nil {
		return statement.Answer{}, err
	}
	sent := clock.Now()
	c.member.requestSent(sent)
	if err := c.netConn.SetDeadline(clock.Deadline(deadline)); err != nil {
		return statement.Answer{}, c.markLost(err, sent)
	}
	if _, err := c.netConn.Write(message); err != nil {
		return statement.Answer{}, c.markLost(err, sent)
	}
	a, err := c.readOwnAnswer(op, sent)
	if err != nil {
		return statement.Answer{}, err
	}
	c.answeredAt = sent
	now := clock.Now()
	c.member.responseReceived(sent, now, a, c.workKind)
	if c.certain && isOutcome(op.Verb, a.Code) {
		c.member.observeOutcome(sent, now, a, c.team)
	}
	return a, nil
}

func (c *Conn) markLost(err error, sent time.Duration) error {
	c.broken = true
	noResponse := &NoResponseError{Member: c.member.id, TimedOut: isTimeout(err), Err: err}
	if !noResponse.TimedOut {
		c.closedByMember()
	}
	c.member.exchangeFailed(sent, classifyFailure(err))
	return noResponse
}

// closedByMember records that the member has closed the connection, which may mean that it
// has restarted.
func (c *Conn) closedByMember() {
	c.closed.Store(true)
	c.member.detectRestart(c.answeredAt)
}

// setSessionValues makes the connection's session values equal to the caller's.
// On error the connection is broken and no statement of the caller was sent.
func (c *Conn) setSessionValues(values map[string]string, deadline time.Duration) error {
	if c.hasExtraValue(values) {
		if err := c.resetSession(deadline); err != nil {
			return err
		}
	}
	for name, value := range values {
		if current, found := c.values[name]; found && current == value {
			continue
		}
		if err := c.runInternal(statement.Operation{Verb: statement.SetParameter, Name: name, Value: value}, deadline); err != nil {
			return err
		}
		c.values[name] = value
	}
	if !c.tracker.Unsettled() {
		return nil
	}
	if err := c.settle(deadline); err != nil {
		return err
	}
	if c.tracker.Unsettled() {
		return c.rejectBeforeSending(statement.Operation{}, nil)
	}
	return nil
}

// settle runs an operation that changes nothing, so that an answer which belongs to an earlier
// one arrives before the next statement is sent.
func (c *Conn) settle(deadline time.Duration) error {
	for name, value := range c.values {
		return c.runInternal(statement.Operation{Verb: statement.SetParameter, Name: name, Value: value}, deadline)
	}
	return c.resetSession(deadline)
}

// hasExtraValue reports whether the connection has a session value that is not
// in values.
func (c *Conn) hasExtraValue(values map[string]string) bool {
	for name := range c.values {
		if _, found := values[name]; !found {
			return true
		}
	}
	return false
}

func (c *Conn) resetSession(deadline time.Duration) error {
	if err := c.runInternal(statement.Operation{Verb: statement.ResetSession}, deadline); err != nil {
		return err
	}
	clear(c.values)
	clear(c.preparedNames)
	return nil
}

// runInternal runs an operation issued by the proxy itself; any answer other
// than OK is an error.
func (c *Conn) runInternal(op statement.Operation, deadline time.Duration) error {
	a, err := c.Do(op, deadline)
	if err != nil {
		return err
	}
	if a.Code != statement.OK {
		c.broken = true
		return &NoResponseError{Member: c.member.id, Err: errors.New("unexpected " + a.Code.String() + " " + a.Detail)}
	}
	return nil
}

// prepare returns the name of a shape on this connection, preparing it on first
// use.
func (c *Conn) prepare(shape statement.Shape, deadline time.Duration) (string, error) {
	if name, found := c.preparedNames[shape]; found {
		return name, nil
	}
	if len(c.preparedNames) >= maxPreparedStatements && c.tracker.State() == statement.Idle {
		values := maps.Clone(c.values)
		if err := c.resetSession(deadline); err != nil {
			return "", err
		}
		if err := c.setSessionValues(values, deadline); err != nil {
			return "", err
		}
	}
	c.nextName++
	name := "p" + strconv.Itoa(c.nextName)
	if err := c.runInternal(statement.Operation{Verb: statement.PrepareStatement, Name: name, Shape: shape}, deadline); err != nil {
		return "", err
	}
	c.preparedNames[shape] = name
	return name, nil
}

// forgetPrepared drops a prepared name that the member no longer knows.
func (c *Conn) forgetPrepared(shape statement.Shape) { delete(c.preparedNames, shape) }

// valuesKey identifies the connection's session values.
func (c *Conn) valuesKey() string { return session.ValuesKey(c.values) }

func (c *Conn) close() {
	if !c.broken {
		// A terminate message frees the connection at the member sooner than
		// EOF does.
		_ = c.netConn.SetWriteDeadline(time.Now().Add(time.Millisecond))
		_, _ = c.netConn.Write(c.proto.EncodeTerminate())
	}
	_ = c.netConn.Close()
}
