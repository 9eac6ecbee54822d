package replicaset

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/session"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// connectTimeout bounds a connection and its login: several times a full
	// queue of logins and statements at a member, and far below the silence
	// that makes it count as dead.
	connectTimeout = 600 * time.Millisecond
	// readBuffer holds most answers whole (about 1 kB each).
	readBuffer = 4 << 10
	// maxShapes bounds the prepared shapes of a connection; past it they are
	// all cleared.
	maxShapes = 500
)

// Conn is one connection to a member. It belongs to one user at a time.
type Conn struct {
	id     connpool.ConnID
	member *Member
	// team is in whose name the connection was opened; empty for the system's.
	team   string
	net    net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	proto  Protocol
	// values are the session values that the member has acknowledged.
	values map[string]string
	// names maps prepared shapes to their names on this connection.
	names map[statement.Shape]string
	// lastState is the state after the newest answer.
	lastState statement.TxState
	// broken is set once the connection cannot be used any more.
	broken  bool
	takenAt time.Duration
	// kind is the kind of the statements that its present user runs.
	kind     string
	nextName int
}

// connect opens a connection in the name of a team and logs in.
func connect(ctx context.Context, dial DialFunc, proto Protocol, m *Member, id connpool.ConnID, team string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	m.dialled(clock.Now())
	nc, err := dial(ctx, "tcp", m.address)
	if err != nil {
		return nil, &ConnectError{Member: m.id, Failure: failureOf(err), Err: err}
	}
	m.connected(clock.Now())
	c := &Conn{
		id: id, member: m, team: team, net: nc, proto: proto, reader: bufio.NewReaderSize(nc, readBuffer),
		values: map[string]string{}, names: map[statement.Shape]string{},
	}
	if sc, ok := nc.(syscall.Conn); ok {
		if c.raw, err = sc.SyscallConn(); err != nil {
			_ = nc.Close()
			return nil, &ConnectError{Member: m.id, Err: err}
		}
	}
	if err := c.login(ctx, m); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

func (c *Conn) login(ctx context.Context, m *Member) error {
	deadline, _ := ctx.Deadline()
	if err := c.net.SetDeadline(deadline); err != nil {
		return &ConnectError{Member: m.id, Err: err}
	}
	if _, err := c.net.Write(c.proto.EncodeLogin(m.service, c.team, m.id)); err != nil {
		return &ConnectError{Member: m.id, Failure: failureOf(err), Err: err}
	}
	a, err := c.proto.ReadWelcome(c.reader)
	if err != nil {
		return &ConnectError{Member: m.id, Failure: failureOf(err), Err: err}
	}
	if a.Code != statement.OK {
		return &ConnectError{Member: m.id, Code: a.Code, Err: errors.New(a.Code.String() + " " + a.Detail)}
	}
	return nil
}

// Do sends one operation and reads its answer until the given time. After an
// error, which is a *LostError, the connection is broken.
func (c *Conn) Do(op statement.Operation, until time.Duration) (statement.Answer, error) {
	sent := clock.Now()
	c.member.asked(sent)
	if err := c.net.SetDeadline(clock.Deadline(until)); err != nil {
		return statement.Answer{}, c.lost(err, sent)
	}
	if _, err := c.net.Write(c.proto.Encode(op)); err != nil {
		return statement.Answer{}, c.lost(err, sent)
	}
	a, err := c.proto.ReadAnswer(c.reader)
	if err != nil {
		return statement.Answer{}, c.lost(err, sent)
	}
	c.lastState = a.State
	c.member.answered(sent, clock.Now(), a, c.kind)
	return a, nil
}

func (c *Conn) lost(err error, sent time.Duration) error {
	c.broken = true
	lost := &LostError{Member: c.member.id, Silent: silent(err), Err: err}
	c.member.failed(sent, failureOf(err))
	return lost
}

// alive reports whether an idle connection is still open, by looking for its
// end or for bytes that nobody asked for.
func (c *Conn) alive() bool {
	if c.raw == nil {
		return true
	}
	if c.reader.Buffered() > 0 {
		return false
	}
	// The time of the last operation may be over by now, and the look at the
	// connection would fail with it.
	if err := c.net.SetDeadline(time.Time{}); err != nil {
		return false
	}
	alive := true
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		alive = n < 0 && (errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR))
		return true
	})
	return err == nil && alive
}

// assign brings the connection's session values to those of a caller. A
// failure breaks the connection and means that nothing of the caller was sent.
func (c *Conn) assign(values map[string]string, until time.Duration) error {
	if c.hasExtra(values) {
		if err := c.clear(until); err != nil {
			return err
		}
	}
	for name, value := range values {
		if have, found := c.values[name]; found && have == value {
			continue
		}
		if err := c.own(statement.Operation{Verb: statement.SetParameter, Name: name, Value: value}, until); err != nil {
			return err
		}
		c.values[name] = value
	}
	return nil
}

// hasExtra reports whether the connection has a value that the caller lacks.
func (c *Conn) hasExtra(values map[string]string) bool {
	for name := range c.values {
		if _, found := values[name]; !found {
			return true
		}
	}
	return false
}

func (c *Conn) clear(until time.Duration) error {
	if err := c.own(statement.Operation{Verb: statement.ResetSession}, until); err != nil {
		return err
	}
	clear(c.values)
	clear(c.names)
	return nil
}

// own runs an operation of the system's own that must succeed.
func (c *Conn) own(op statement.Operation, until time.Duration) error {
	a, err := c.Do(op, until)
	if err != nil {
		return err
	}
	if a.Code != statement.OK {
		c.broken = true
		return &LostError{Member: c.member.id, Err: errors.New("unexpected " + a.Code.String() + " " + a.Detail)}
	}
	return nil
}

// define returns the name of a shape on this connection and prepares it if it
// is new.
func (c *Conn) define(shape statement.Shape, until time.Duration) (string, error) {
	if name, found := c.names[shape]; found {
		return name, nil
	}
	if len(c.names) >= maxShapes && c.lastState == statement.Idle {
		values := maps.Clone(c.values)
		if err := c.clear(until); err != nil {
			return "", err
		}
		if err := c.assign(values, until); err != nil {
			return "", err
		}
	}
	c.nextName++
	name := "p" + strconv.Itoa(c.nextName)
	if err := c.own(statement.Operation{Verb: statement.PrepareStatement, Name: name, Shape: shape}, until); err != nil {
		return "", err
	}
	c.names[shape] = name
	return name, nil
}

// forget drops a prepared name that the member does not know any more.
func (c *Conn) forget(shape statement.Shape) { delete(c.names, shape) }

// valuesKey identifies the values that the connection has.
func (c *Conn) valuesKey() string { return session.ValuesKey(c.values) }

func (c *Conn) close() {
	if !c.broken {
		// The member frees the connection sooner when told; it notices the end
		// of the stream otherwise.
		_ = c.net.SetWriteDeadline(time.Now().Add(time.Millisecond))
		_, _ = c.net.Write(c.proto.EncodeGoodbye())
	}
	_ = c.net.Close()
}
