package upstream

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/pgcorrelate"
	"github.com/dotterelswitch/dotterelswitch/node/pgframe"
	"github.com/dotterelswitch/dotterelswitch/node/socket"
)

const (
	readBufferSize = 16 * 1024
	// maxAnswersPerRequest bounds the answers that are read before the echo of a marker.
	maxAnswersPerRequest = 64
	// maxIdleMessages bounds the asynchronous messages that are read from an idle
	// connection at once.
	maxIdleMessages = 64
	// idleReadTimeout bounds the wait for the rest of a message on an idle connection.
	idleReadTimeout = 5 * time.Millisecond
)

// Conn is a connection that carries one request at a time.
type Conn struct {
	target      Target
	conn        net.Conn
	rawConn     syscall.RawConn
	reader      *bufio.Reader
	pid         uint32
	secret      []byte
	answerLimit int
	tracker     pgcorrelate.Tracker
	// nextMarker is the number of the next marker.
	nextMarker uint32
	// dirty is set while an answer is outstanding, and permanently once an answer
	// was not read in full or was not the only one.
	dirty bool
	// inTx is set if the last answer left a transaction open.
	inTx bool
	// control is set for a control connection, which is kept after a repeated answer.
	control bool
}

// Open connects to a member. Answers larger than limit bytes are refused.
func Open(ctx context.Context, t Target, limit int) (*Conn, error) {
	h, reader, err := t.connect(ctx)
	if err != nil {
		return nil, err
	}
	c := &Conn{
		target: t, conn: h.Conn, reader: reader,
		pid: h.PID, secret: h.SecretKey, answerLimit: limit, nextMarker: rand.Uint32(),
	}
	if conn, ok := h.Conn.(syscall.Conn); ok {
		if c.rawConn, err = conn.SyscallConn(); err != nil {
			c.Close()
			return nil, &DialError{Member: t.Member, Err: err}
		}
	}
	return c, nil
}

// Clean reports whether the connection may serve another session: its last answer was read in
// full and was the only one, no transaction is open, and nothing but asynchronous messages,
// which it drops, has arrived since.
func (c *Conn) Clean() bool {
	if c.dirty || c.inTx {
		return false
	}
	for range maxIdleMessages {
		received, open := c.received()
		if !open {
			c.dirty = true
			return false
		}
		if !received {
			return true
		}
		if !c.dropAsynchronous() {
			break
		}
	}
	c.dirty = true
	c.reject(pgcorrelate.Request{}, pgcorrelate.Unrequested, false)
	return false
}

// received reports whether data has arrived, and whether the connection is open as far as
// that tells. It does not wait.
func (c *Conn) received() (data, open bool) {
	if c.reader.Buffered() > 0 {
		return true, true
	}
	if c.rawConn == nil {
		return false, true
	}
	return socket.Received(c.rawConn)
}

// dropAsynchronous drops one message that a member may send at any moment. It reports false if
// something else has arrived.
func (c *Conn) dropAsynchronous() bool {
	if c.conn.SetReadDeadline(time.Now().Add(idleReadTimeout)) != nil {
		return false
	}
	header, err := c.reader.Peek(pgframe.HeaderSize)
	if err != nil {
		return false
	}
	size, ok := pgframe.Size(header)
	if kind := header[0]; !ok || size > readBufferSize || kind != 'N' && kind != 'S' && kind != 'A' {
		return false
	}
	if _, err := c.reader.Discard(size); err != nil {
		return false
	}
	return c.conn.SetReadDeadline(time.Time{}) == nil
}

func (c *Conn) Close() { _ = c.conn.Close() }

// Run sends frames, which must end in one Query or Sync, and reads the answer. If the context
// ends first, the statement is cancelled and the connection is no longer usable.
func (c *Conn) Run(ctx context.Context, frames []byte) (Answer, error) {
	c.dirty = true
	c.nextMarker++
	messages, echo, err := marker(c.nextMarker)
	if err != nil {
		return Answer{}, c.fail(false, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	if ctx.Err() != nil {
		stop()
		return Answer{}, c.fail(false, ctx.Err())
	}
	if _, open := c.received(); !open {
		stop()
		// A context that has just ended makes the connection look closed.
		return Answer{}, c.fail(false, cmp.Or(ctx.Err(), net.ErrClosed))
	}
	n, err := c.conn.Write(append(frames[:len(frames):len(frames)], messages...))
	if err != nil {
		return Answer{}, c.fail(n > 0, err)
	}
	a, alone, err := c.readAnswer(describeRequest(frames), echo)
	if err != nil {
		if ctx.Err() != nil {
			go c.cancel()
			err = ctx.Err()
		}
		return Answer{}, c.fail(true, err)
	}
	// If the context has just ended, its deadline may already be set on the
	// connection. The answer is complete, but the connection cannot be reused.
	c.dirty = !stop() || !alone
	c.inTx = a.TxStatus != 'I'
	return a, nil
}

func (c *Conn) fail(sent bool, err error) error {
	return &RunError{Member: c.target.Member, MayHaveRun: sent, Err: err}
}

// readAnswer reads up to the echo of the marker and returns the answer to the request, and
// whether it was the only one.
func (c *Conn) readAnswer(req pgcorrelate.Request, echo []byte) (a Answer, alone bool, err error) {
	var segments []*segment
	var forms []pgcorrelate.Answer
	for {
		s, err := readSegment(c.reader, c.answerLimit)
		if err != nil {
			return a, false, c.unreadable(req, err)
		}
		if !bytes.Equal(s.answer.Frames, echo) {
			segments, forms = append(segments, s), append(forms, s.form)
			if len(segments) > maxAnswersPerRequest {
				return a, false, c.reject(req, pgcorrelate.TooMany, false)
			}
			continue
		}
		v := c.tracker.Choose(req, forms, s.answer.TxStatus)
		c.tracker.Remember(s.form)
		switch {
		case v.Index < 0:
			return a, false, c.reject(req, v.Reason, false)
		case v.Reason != "":
			_ = c.reject(req, v.Reason, true)
		}
		return segments[v.Index].whole(), v.Reason == "", nil
	}
}

// unreadable reports an answer that violates the protocol.
func (c *Conn) unreadable(req pgcorrelate.Request, err error) error {
	if err == errMalformedMessage {
		_ = c.reject(req, pgcorrelate.Unreadable, false)
	}
	return err
}

// reject reports an answer that is not that to the request, and returns it as an error.
func (c *Conn) reject(req pgcorrelate.Request, reason pgcorrelate.Reason, answered bool) error {
	if c.target.Rejected != nil {
		fate := Closed
		switch {
		case answered && c.control:
			fate = Kept
		case answered:
			fate = Retired
		}
		c.target.Rejected(Rejection{Member: c.target.Member, Reason: reason, Keyword: req.Keyword, Answered: answered, Connection: fate})
	}
	return &AnswerRejectedError{Reason: reason}
}

// cancelTimeout bounds the delivery of a cancel request.
const cancelTimeout = time.Second

// cancel sends a cancel request for the running statement.
func (c *Conn) cancel() {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	dial := c.target.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", c.target.Address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	req := &pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}
	buf, err := req.Encode(nil)
	if err != nil {
		return
	}
	_, _ = conn.Write(buf)
}
