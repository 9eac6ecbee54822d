package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/node/pgframe"
)

// positionParameter is the ParameterStatus in which a member reports the log
// position of the last commit or snapshot.
const positionParameter = "group.position"

const readBufferSize = 16 * 1024

// Answer is the complete answer to one request.
type Answer struct {
	// Frames are the member's messages without ReadyForQuery and ParameterStatus.
	Frames []byte
	// TxStatus is the transaction status of ReadyForQuery: 'I' outside a
	// transaction, 'T' inside, 'E' in a failed one.
	TxStatus byte
	// Position is the log position of the last commit or snapshot.
	Position logpos.Position
	// ErrorCode is the SQLSTATE of the last ErrorResponse, or empty.
	ErrorCode string
}

// Conn is a connection that carries one request at a time.
type Conn struct {
	target      Target
	conn        net.Conn
	reader      *bufio.Reader
	pid         uint32
	secret      []byte
	answerLimit int
	// dirty is set while an answer is outstanding, and permanently once an answer
	// was not read in full.
	dirty bool
	// inTx is set if the last answer left a transaction open.
	inTx bool
}

// Open connects to a member. Answers larger than limit bytes are refused.
func Open(ctx context.Context, t Target, limit int) (*Conn, error) {
	pc, err := t.connect(ctx)
	if err != nil {
		return nil, err
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, &DialError{Member: t.Member, Err: err}
	}
	return &Conn{
		target: t, conn: h.Conn, reader: bufio.NewReaderSize(h.Conn, readBufferSize),
		pid: h.PID, secret: h.SecretKey, answerLimit: limit,
	}, nil
}

// Clean reports whether the connection may serve another session: its last answer
// was read in full, no transaction is open, and no unread bytes are buffered.
func (c *Conn) Clean() bool { return !c.dirty && !c.inTx && c.reader.Buffered() == 0 }

func (c *Conn) Close() { _ = c.conn.Close() }

// Run sends frames, which must end in one Query or Sync, and reads the answer up
// to ReadyForQuery. If the context ends first, the statement is cancelled and the
// connection is no longer usable.
func (c *Conn) Run(ctx context.Context, frames []byte) (Answer, error) {
	c.dirty = true
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	if ctx.Err() != nil {
		stop()
		return Answer{}, c.fail(false, ctx.Err())
	}
	n, err := c.conn.Write(frames)
	if err != nil {
		return Answer{}, c.fail(n > 0, err)
	}
	a, err := c.readAnswer()
	if err != nil {
		if ctx.Err() != nil {
			go c.cancel()
			err = ctx.Err()
		}
		return Answer{}, c.fail(true, err)
	}
	// If the context has just ended, its deadline may already be set on the
	// connection. The answer is complete, but the connection cannot be reused.
	c.dirty = !stop()
	c.inTx = a.TxStatus != 'I'
	return a, nil
}

func (c *Conn) fail(sent bool, err error) error {
	return &RunError{Member: c.target.Member, MayHaveRun: sent, Err: err}
}

func (c *Conn) readAnswer() (Answer, error) {
	var a Answer
	for {
		header, err := c.reader.Peek(pgframe.HeaderSize)
		if err != nil {
			return a, unexpectedEOF(err)
		}
		kind := header[0]
		size := pgframe.Size(header)
		if size < pgframe.HeaderSize || len(a.Frames)+size > c.answerLimit {
			return a, &TooLargeError{Limit: c.answerLimit}
		}
		start := len(a.Frames)
		a.Frames = append(a.Frames, make([]byte, size)...)
		if _, err := io.ReadFull(c.reader, a.Frames[start:]); err != nil {
			return a, unexpectedEOF(err)
		}
		body := a.Frames[start+pgframe.HeaderSize:]
		switch kind {
		case 'Z':
			if len(body) != 1 {
				return a, errMalformedMessage
			}
			a.TxStatus = body[0]
			a.Frames = a.Frames[:start]
			return a, nil
		case 'S':
			a.readParameter(body)
			a.Frames = a.Frames[:start]
		case 'E':
			a.readError(body)
		case 'G', 'W':
			return a, errCopy
		}
	}
}

var errCopy = errors.New("the upstream asks for COPY data, which pooled connections do not carry")

var errMalformedMessage = errors.New("malformed message from the upstream")

func (a *Answer) readParameter(body []byte) {
	var ps pgproto3.ParameterStatus
	if ps.Decode(body) != nil || ps.Name != positionParameter {
		return
	}
	if p, err := logpos.Parse(ps.Value); err == nil {
		a.Position = p
	}
}

func (a *Answer) readError(body []byte) {
	var e pgproto3.ErrorResponse
	if e.Decode(body) == nil {
		a.ErrorCode = e.Code
	}
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
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
