// Package upstream connects to the members of database groups: pooled connections
// carry callers' messages unchanged, control connections call the group
// functions.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/pgcorrelate"
	"github.com/dotterelswitch/dotterelswitch/node/pgframe"
)

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Target is the address of a member and the credentials for it.
type Target struct {
	Service string
	Member  string
	Address string
	User    string
	// Password may be empty. It is never logged.
	Password string
	// Application is sent as application_name. It begins with the host's ID, so
	// that a member can terminate all connections of a dead host.
	Application string
	Dial        DialFunc
	// Rejected is called for each answer that is not that to the request in progress; it
	// may be nil.
	Rejected func(Rejection)
}

// Rejection describes an answer that is not that to the request in progress.
type Rejection struct {
	Member string
	Reason pgcorrelate.Reason
	// Keyword is the first word of the request's statement. It may be empty, and is so if
	// no request was in progress.
	Keyword string
	// Answered is set if the answer to the request is known all the same.
	Answered   bool
	Connection Fate
}

// Fate tells what becomes of a connection after an answer was rejected.
type Fate string

// The fates.
const (
	// Closed is a connection on which no answer can be told apart any more.
	Closed Fate = "closed"
	// Retired is a connection that is replaced after the work on it has ended.
	Retired Fate = "retired"
	// Kept is a control connection, whose loss would give up its advisory locks.
	Kept Fate = "kept"
)

// connect opens a connection and authenticates. The reader holds what follows the login.
func (t Target) connect(ctx context.Context) (*pgconn.HijackedConn, *bufio.Reader, error) {
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=disable", t.Address, t.Service))
	if err != nil {
		return nil, nil, &DialError{Member: t.Member, Err: err}
	}
	cfg.User, cfg.Password = t.User, t.Password
	cfg.RuntimeParams["application_name"] = t.Application
	if t.Dial != nil {
		cfg.DialFunc = pgconn.DialFunc(t.Dial)
	}
	// The frontend reads ahead, and what it has read is lost with it. It therefore gets one
	// message at a time.
	var login *messageReader
	cfg.BuildFrontend = func(r io.Reader, w io.Writer) *pgproto3.Frontend {
		login = &messageReader{reader: bufio.NewReaderSize(r, readBufferSize)}
		return pgproto3.NewFrontend(login, w)
	}
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, nil, &DialError{Member: t.Member, Err: err}
	}
	h, err := conn.Hijack()
	if err != nil {
		return nil, nil, &DialError{Member: t.Member, Err: err}
	}
	return h, login.reader, nil
}

// messageReader reads at most to the end of the current message.
type messageReader struct {
	reader *bufio.Reader
	// left is how many bytes of the current message are unread.
	left int
}

func (m *messageReader) Read(b []byte) (int, error) {
	if m.left == 0 {
		header, err := m.reader.Peek(pgframe.HeaderSize)
		if err != nil {
			return 0, unexpectedEOF(err)
		}
		size, ok := pgframe.Size(header)
		if !ok {
			return 0, errMalformedMessage
		}
		m.left = size
	}
	n, err := m.reader.Read(b[:min(len(b), m.left)])
	m.left -= n
	return n, err
}
