package upstream_test

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/pgcorrelate"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

const (
	testLimit   = 4096
	testTimeout = 2 * time.Second
)

// scriptedMember answers queries with the bytes of a script, and markers as PostgreSQL does.
type scriptedMember struct {
	t        testing.TB
	listener net.Listener
	// answer returns what follows a query, ReadyForQuery included.
	answer func(sql string) []byte
	// login is sent after the login.
	login []byte

	mu       sync.Mutex
	conns    []net.Conn
	rejected []upstream.Rejection
}

func startMember(t testing.TB, answer func(sql string) []byte) *scriptedMember {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &scriptedMember{t: t, listener: l, answer: answer}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns = append(m.conns, c)
			m.mu.Unlock()
			go m.serve(c)
		}
	}()
	return m
}

func (m *scriptedMember) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	login := messages(&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte("key!")}, ready('I'))
	_, _ = c.Write(append(login, m.login...))
	var types []uint32
	status := byte('I')
	for {
		msg, err := b.Receive()
		if err != nil {
			return
		}
		switch msg := msg.(type) {
		case *pgproto3.Query:
			out := m.answer(msg.String)
			if len(out) > 0 {
				status = out[len(out)-1]
			}
			_, _ = c.Write(out)
		case *pgproto3.Parse:
			types = append([]uint32(nil), msg.ParameterOIDs...)
		case *pgproto3.Sync:
			_, _ = c.Write(messages(&pgproto3.ParseComplete{}, &pgproto3.ParameterDescription{ParameterOIDs: types}, &pgproto3.NoData{}, ready(status)))
		}
	}
}

// send sends bytes that nobody has asked for.
func (m *scriptedMember) send(b []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		_, err := c.Write(b)
		require.NoError(m.t, err)
	}
}

func (m *scriptedMember) open() *upstream.Conn {
	m.t.Helper()
	c, err := upstream.Open(m.t.Context(), upstream.Target{
		Service: "s", Member: "m", Address: m.listener.Addr().String(), User: "u",
		Rejected: func(r upstream.Rejection) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.rejected = append(m.rejected, r)
		},
	}, testLimit)
	require.NoError(m.t, err)
	m.t.Cleanup(c.Close)
	return c
}

func (m *scriptedMember) reasons() []pgcorrelate.Reason {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []pgcorrelate.Reason
	for _, r := range m.rejected {
		out = append(out, r.Reason)
	}
	return out
}

func messages(list ...pgproto3.BackendMessage) []byte {
	var out []byte
	for _, msg := range list {
		out, _ = msg.Encode(out)
	}
	return out
}

func ready(status byte) *pgproto3.ReadyForQuery { return &pgproto3.ReadyForQuery{TxStatus: status} }

func tag(text string) *pgproto3.CommandComplete {
	return &pgproto3.CommandComplete{CommandTag: []byte(text)}
}

// rows is the answer to a SELECT of one value.
func rows(value string) []byte {
	return messages(
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v")}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte(value)}}, tag("SELECT 1"), ready('I'))
}

var asynchronous = messages(
	&pgproto3.NoticeResponse{Severity: "NOTICE", Code: "00000", Message: "n"},
	&pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"},
	&pgproto3.NotificationResponse{PID: 1, Channel: "c"})

func run(t testing.TB, c *upstream.Conn, sql string) (upstream.Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	frames, err := (&pgproto3.Query{String: sql}).Encode(nil)
	require.NoError(t, err)
	return c.Run(ctx, frames)
}

// TestLateAnswerIsNotThatOfTheNextStatement guards against rows of an earlier statement, when
// its answer comes a second time and arrives first.
func TestLateAnswerIsNotThatOfTheNextStatement(t *testing.T) {
	m := startMember(t, func(sql string) []byte { return rows(sql) })
	c := m.open()
	first, err := run(t, c, "SELECT 1")
	require.NoError(t, err)
	m.send(rows("SELECT 1"))
	second, err := run(t, c, "SELECT 2")
	require.NoError(t, err)
	require.NotEqual(t, first.Frames, second.Frames)
	require.Contains(t, string(second.Frames), "SELECT 2")
	require.False(t, c.Clean(), "another session would use the connection of a member that stutters")
	require.Equal(t, []pgcorrelate.Reason{pgcorrelate.Repeated}, m.reasons())
}

// TestDataNobodyAskedForRetiresTheConnection guards against a connection with late bytes
// serving another session.
func TestDataNobodyAskedForRetiresTheConnection(t *testing.T) {
	m := startMember(t, func(sql string) []byte { return rows(sql) })
	c := m.open()
	_, err := run(t, c, "SELECT 1")
	require.NoError(t, err)
	require.True(t, c.Clean())
	m.send(rows("SELECT 1"))
	require.Eventually(t, func() bool { return !c.Clean() }, testTimeout, time.Millisecond)
	require.Equal(t, []pgcorrelate.Reason{pgcorrelate.Unrequested}, m.reasons())
}

// TestClosedConnectionIsNotUsed guards against statements on connections that the member has
// closed while they were idle: their outcome would be unknown.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	m := startMember(t, func(sql string) []byte { return rows(sql) })
	c := m.open()
	_, err := run(t, c, "SELECT 1")
	require.NoError(t, err)
	m.mu.Lock()
	require.NoError(t, m.conns[0].Close())
	m.mu.Unlock()
	require.Eventually(t, func() bool { return !c.Clean() }, testTimeout, time.Millisecond)
	require.Empty(t, m.reasons())
}

// TestAsynchronousMessagesKeepTheConnection guards against a new connection for each notice.
func TestAsynchronousMessagesKeepTheConnection(t *testing.T) {
	m := startMember(t, func(sql string) []byte { return append(append([]byte(nil), asynchronous...), rows(sql)...) })
	m.login = asynchronous
	c := m.open()
	for range 3 {
		a, err := run(t, c, "SELECT 1")
		require.NoError(t, err)
		require.NotContains(t, string(a.Frames), "TimeZone")
		m.send(asynchronous)
		time.Sleep(2 * time.Millisecond)
		require.True(t, c.Clean())
	}
	require.Empty(t, m.reasons())
}

// TestLoginSentTwice guards against the bytes after a login being lost or taken for an answer.
func TestLoginSentTwice(t *testing.T) {
	m := startMember(t, func(sql string) []byte { return rows(sql) })
	m.login = messages(&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte("key!")}, ready('I'))
	a, err := run(t, m.open(), "SELECT 1")
	require.NoError(t, err)
	require.Contains(t, string(a.Frames), "SELECT 1")
}

// TestAnswersThatAreRejected guards against answers that are passed on though the request
// cannot have them.
func TestAnswersThatAreRejected(t *testing.T) {
	length := func(n uint32) []byte {
		return binary.BigEndian.AppendUint32([]byte{'C'}, n)
	}
	for name, c := range map[string]struct {
		sql    string
		answer []byte
	}{
		"no result":                     {"INSERT", messages(ready('I'))},
		"no answer":                     {"INSERT", nil},
		"begin without a transaction":   {"BEGIN", messages(tag("BEGIN"), ready('I'))},
		"tag of another statement":      {"INSERT", messages(tag("DELETE 1"), ready('I'))},
		"rows without a description":    {"SELECT", messages(&pgproto3.DataRow{}, tag("SELECT 1"), ready('I'))},
		"error in a usable transaction": {"INSERT", messages(&pgproto3.ErrorResponse{Code: "23505"}, ready('T'))},
		"two different answers":         {"SELECT", append(rows("a"), rows("b")...)},
		"unknown status":                {"INSERT", messages(tag("INSERT 0 1"), ready('X'))},
		"login":                         {"SELECT", messages(&pgproto3.AuthenticationOk{}, ready('I'))},
		"length zero":                   {"INSERT", append(length(0), rows("a")...)},
		"length below four":             {"INSERT", append(length(3), rows("a")...)},
		"negative length":               {"INSERT", append(length(1<<32-1), rows("a")...)},
		"length of 2^31":                {"INSERT", append(length(1<<31), rows("a")...)},
		"length over the limit":         {"INSERT", append(length(testLimit), rows("a")...)},
		"tag without an end":            {"INSERT", append(append(length(5), 'x'), rows("a")...)},
	} {
		t.Run(name, func(t *testing.T) {
			m := startMember(t, func(string) []byte { return c.answer })
			conn := m.open()
			_, err := run(t, conn, c.sql)
			var runErr *upstream.RunError
			require.ErrorAs(t, err, &runErr)
			require.NotErrorIs(t, err, context.DeadlineExceeded)
			require.True(t, runErr.MayHaveRun)
			require.False(t, conn.Clean())
		})
	}
}

// TestControlAnswersAreNotRepeated guards against the answer to one group function being taken
// for that to the next, and against the loss of the connection, which holds a lock.
func TestControlAnswersAreNotRepeated(t *testing.T) {
	m := startMember(t, func(sql string) []byte {
		if sql == "SELECT pg_try_advisory_lock(1)" {
			return append(rows("t"), rows("t")...)
		}
		return rows("f")
	})
	control := upstream.NewControl(upstream.Target{Service: "s", Member: "m", Address: m.listener.Addr().String(), User: "u"})
	defer control.Close()
	locked, generation, err := control.TryLock(t.Context(), 1)
	require.NoError(t, err)
	require.True(t, locked)
	locked, again, err := control.TryLock(t.Context(), 2)
	require.NoError(t, err)
	require.False(t, locked, "the answer is that to the first call")
	require.Equal(t, generation, again)
}

// BenchmarkRun measures a statement on a loopback connection, the member included.
func BenchmarkRun(b *testing.B) {
	m := startMember(b, func(sql string) []byte { return rows(sql) })
	c := m.open()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := run(b, c, "SELECT 1"); err != nil {
			b.Fatal(err)
		}
	}
}
