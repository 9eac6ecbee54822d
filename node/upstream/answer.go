package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/pgcorrelate"
	"github.com/dotterelswitch/dotterelswitch/node/pgframe"
)

// positionParameter is the ParameterStatus in which a member reports the log
// position of the last commit or snapshot.
const positionParameter = "group.position"

// Answer is the complete answer to one request.
type Answer struct {
	// Frames are the member's messages without ReadyForQuery, ParameterStatus and
	// NotificationResponse, notices first.
	Frames []byte
	// TxStatus is the transaction status of ReadyForQuery: 'I' outside a
	// transaction, 'T' inside, 'E' in a failed one.
	TxStatus byte
	// Position is the log position of the last commit or snapshot.
	Position logpos.Position
	// ErrorCode is the SQLSTATE of the last ErrorResponse, or empty.
	ErrorCode string
}

// segment is what a member sent up to one ReadyForQuery.
type segment struct {
	answer Answer
	form   pgcorrelate.Answer
	// notices are NoticeResponses, which may arrive at any moment.
	notices  []byte
	position string
}

var errCopy = errors.New("the upstream asks for COPY data, which pooled connections do not carry")

var errMalformedMessage = errors.New("malformed message from the upstream")

// readSegment reads messages up to ReadyForQuery. The messages may not exceed limit bytes.
func readSegment(r *bufio.Reader, limit int) (*segment, error) {
	s := &segment{}
	for {
		header, err := r.Peek(pgframe.HeaderSize)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		kind := header[0]
		size, ok := pgframe.Size(header)
		if !ok {
			return nil, errMalformedMessage
		}
		frames := &s.answer.Frames
		if kind == 'N' {
			frames = &s.notices
		}
		start := len(*frames)
		if len(s.answer.Frames)+len(s.notices)+size > limit {
			return nil, &TooLargeError{Limit: limit}
		}
		*frames = append(*frames, make([]byte, size)...)
		if _, err := io.ReadFull(r, (*frames)[start:]); err != nil {
			return nil, unexpectedEOF(err)
		}
		ready, err := s.add(kind, (*frames)[start+pgframe.HeaderSize:])
		if err != nil {
			return nil, err
		}
		if ready || kind == 'S' || kind == 'A' {
			s.answer.Frames = s.answer.Frames[:start]
		}
		if ready {
			s.finish()
			return s, nil
		}
	}
}

// add notes one message and reports whether it is ReadyForQuery.
func (s *segment) add(kind byte, body []byte) (ready bool, err error) {
	switch kind {
	case 'Z':
		if len(body) != 1 {
			return false, errMalformedMessage
		}
		s.answer.TxStatus = body[0]
		return true, nil
	case 'N', 'A':
		return false, nil
	case 'S':
		s.readParameter(body)
		return false, nil
	case 'G', 'W':
		return false, errCopy
	case 'E':
		s.readError(body)
	case 'C':
		if err := s.readTag(body); err != nil {
			return false, err
		}
	}
	kinds := s.form.Kinds
	if repeatable := kind == 'D' || kind == 'd'; !repeatable || len(kinds) == 0 || kinds[len(kinds)-1] != kind {
		s.form.Kinds = append(kinds, kind)
	}
	return false, nil
}

// finish completes the form of the answer.
func (s *segment) finish() {
	s.form.TxStatus = s.answer.TxStatus
	s.form.Content = s.answer.Frames
	s.form.Position = s.position
}

// whole returns the answer with the notices that came with it.
func (s *segment) whole() Answer {
	a := s.answer
	if len(s.notices) > 0 {
		a.Frames = append(s.notices, a.Frames...)
	}
	return a
}

func (s *segment) readTag(body []byte) error {
	tag, rest, terminated := bytes.Cut(body, []byte{0})
	if !terminated || len(rest) > 0 {
		return errMalformedMessage
	}
	s.form.LastTag = string(tag)
	if s.form.FirstTag == "" {
		s.form.FirstTag = s.form.LastTag
	}
	return nil
}

func (s *segment) readParameter(body []byte) {
	var ps pgproto3.ParameterStatus
	if ps.Decode(body) != nil || ps.Name != positionParameter {
		return
	}
	if p, err := logpos.Parse(ps.Value); err == nil {
		s.answer.Position, s.position = p, ps.Value
	}
}

func (s *segment) readError(body []byte) {
	var e pgproto3.ErrorResponse
	if e.Decode(body) == nil {
		s.answer.ErrorCode = e.Code
	}
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// describeRequest returns what decides which answers a request can have. frames are messages
// that this host has encoded.
func describeRequest(frames []byte) pgcorrelate.Request {
	var req pgcorrelate.Request
	var statements, executions int
	var bound, executed []byte
	for {
		message, rest, ok := pgframe.Next(frames)
		if !ok {
			break
		}
		kind, body := message[0], message[pgframe.HeaderSize:]
		first, second, _ := bytes.Cut(body, []byte{0})
		switch kind {
		case 'D':
			if len(body) > 0 && body[0] == 'S' {
				kind = pgcorrelate.DescribeStatement
			}
		case 'Q':
			statements++
			req.Keyword = keyword(first)
		case 'P':
			statements++
			req.Keyword = keyword(second)
		case 'B':
			bound = first
		case 'E':
			executions++
			executed = first
		}
		req.Kinds = append(req.Kinds, kind)
		frames = rest
	}
	// The tag may be that of a portal that an earlier request left open.
	if statements != 1 || executions > 1 || !bytes.Equal(bound, executed) {
		req.Keyword = ""
	}
	return req
}

// keyword returns the first word of a statement in upper case, or nothing if the statement
// starts with anything but a letter, such as a comment.
func keyword(sql []byte) string {
	sql = bytes.TrimLeft(sql, " \t\r\n")
	end := 0
	for end < len(sql) && (sql[end]|0x20 >= 'a' && sql[end]|0x20 <= 'z') {
		end++
	}
	return strings.ToUpper(string(sql[:end]))
}
