package replicaset

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/correlate"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/socket"
)

// connState is the state of an idle connection.
type connState uint8

const (
	connOpen connState = iota
	// connClosed has been closed by the member, or has failed.
	connClosed
	// connUnclean has data that no operation in progress asked for.
	connUnclean
)

// state returns the state of an idle connection.
func (c *Conn) state() connState {
	if c.rawConn == nil {
		return connOpen
	}
	// The deadline of the previous operation may have expired, which would make
	// the look at the socket fail.
	if err := c.netConn.SetDeadline(time.Time{}); err != nil {
		return connClosed
	}
	data, open := socket.Received(c.rawConn)
	switch {
	case !open:
		return connClosed
	case data || c.reader.Buffered() > 0:
		return connUnclean
	}
	return connOpen
}

// alive reports whether an idle connection is still open.
func (c *Conn) alive() bool { return c.state() != connClosed }

// usable reports whether an idle connection can serve a caller. It records why it cannot.
func (c *Conn) usable() bool {
	switch c.state() {
	case connClosed:
		c.broken = true
		c.closedByMember()
		return false
	case connUnclean:
		c.tracker.Retire()
		// A member that has closed the connection since may have restarted.
		if !socket.Drain(c.rawConn) {
			c.broken = true
			c.closedByMember()
		}
		c.reportRejected(statement.Operation{}, correlate.Verdict{Attribution: correlate.Earlier, Reason: correlate.Unrequested})
		return false
	}
	return true
}
