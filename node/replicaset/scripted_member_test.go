package replicaset

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

// scriptedMember answers each message with what reply returns, which may hold copies of other
// answers, or nothing. reply gets the number of the connection, from 1.
type scriptedMember struct {
	listener net.Listener
	reply    func(conn int, text string) string

	mu sync.Mutex
	// messages holds the messages of each connection but the login.
	messages [][]string
}

const scriptedLogin = "READY I 1.1\r\n"

// newScriptedMember returns a set whose primary p is scripted.
func newScriptedMember(t *testing.T, reply func(conn int, text string) string) (*scriptedMember, *Set, *Member) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedMember{listener: l, reply: reply}
	go s.accept()
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", l.Addr().String())
	}
	set := groupOfThree(Config{Host: "h1", Dial: dial, Proto: platform.MemberProtocol{}})
	m, known := set.Member("p")
	require.True(t, known)
	return s, set, m
}

func (s *scriptedMember) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.messages = append(s.messages, nil)
		n := len(s.messages)
		s.mu.Unlock()
		go s.serve(c, n)
	}
}

func (s *scriptedMember) serve(c net.Conn, n int) {
	defer func() { _ = c.Close() }()
	scanner := bufio.NewScanner(c)
	for scanner.Scan() {
		text := strings.TrimSuffix(scanner.Text(), "\r")
		if strings.HasPrefix(text, "START ") {
			_, _ = c.Write([]byte(scriptedLogin))
			continue
		}
		if _, rest, found := strings.Cut(strings.TrimPrefix(text, "QUERY "), " "); found {
			text = rest
		}
		s.mu.Lock()
		s.messages[n-1] = append(s.messages[n-1], text)
		s.mu.Unlock()
		if text == "TERMINATE" {
			return
		}
		_, _ = c.Write([]byte(s.reply(n, text)))
	}
}

// script answers the messages of the first connection with replies, in order, and those of
// others as a member that disturbs nothing.
func script(replies ...string) func(int, string) string {
	var mu sync.Mutex
	signed := 0
	return func(conn int, text string) string {
		mu.Lock()
		defer mu.Unlock()
		if conn == 1 {
			if len(replies) == 0 {
				return ""
			}
			r := replies[0]
			replies = replies[1:]
			return r
		}
		word, _, _ := strings.Cut(text, " ")
		signed++
		switch word {
		case "FETCH":
			return fmt.Sprintf("DATAROW other\r\nCOMPLETE other%d\r\nREADY I 1.1\r\n", signed)
		case "STORE":
			return fmt.Sprintf("COMPLETE other%d\r\nREADY I 1.1\r\n", signed)
		}
		return rollbackAnswer
	}
}

func scriptedJob(kind JobKind, text string) Job {
	now := clock.Now()
	end := now + 2*time.Second
	st := statement.Statement{Kind: statement.Read, ID: "id", Text: text}
	if strings.HasPrefix(text, "STORE") {
		st.Kind = statement.Write
	}
	return Job{
		Kind: kind, Member: "p", RequirePrimary: kind == JobBegin, Floor: logpos.Position{Term: 1, Offset: 1},
		Request: Request{Statement: st, Received: now, TargetDeadline: end, OnTimeUntil: end, StartDeadline: end, Deadline: end},
	}
}

// runScripted runs a job on a connection to the member, without the checks of its log.
func runScripted(t *testing.T, s *Set, m *Member, j Job) Result {
	t.Helper()
	c, err := m.acquireSuitable(t.Context(), j.Request.waiter(), j.suits(m))
	require.NoError(t, err)
	return s.executeOn(t.Context(), c, j)
}

// signedRead is the answer to a read of an item, in a transaction state.
func signedRead(item, state string) string {
	return "DATAROW " + item + "\r\nCOMPLETE sig-" + item + "\r\nREADY " + state + " 1.1\r\n"
}

const (
	beginAnswer    = "COMPLETE -\r\nREADY T 1.1\r\n"
	rollbackAnswer = "COMPLETE -\r\nREADY I 1.1\r\n"
)

// awaitIdle waits until all connections are idle or closed.
func awaitIdle(t *testing.T, m *Member) {
	t.Helper()
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.pool.InUse() == 0
	}, 5*time.Second, time.Millisecond)
}

// TestRefusedBeginLeavesNoAnswerBehind guards against a begin that the member refuses after a copy
// of the answer to an earlier one. The refusal was taken for the answer to the read that followed,
// and the read's own answer for that of the next caller's read.
func TestRefusedBeginLeavesNoAnswerBehind(t *testing.T) {
	_, s, m := newScriptedMember(t, script(
		beginAnswer, signedRead("a", "T"), rollbackAnswer,
		// A copy, then the refusal. The answer to the read comes after the next message.
		beginAnswer, "ERROR READONLY p\r\nREADY I 1.1\r\n", signedRead("b", "I")+signedRead("c", "I"),
	))
	res := runScripted(t, s, m, scriptedJob(JobPrimaryRead, "FETCH a"))
	require.Equal(t, "sig-a", res.Answer.Signature)
	awaitIdle(t, m)
	res = runScripted(t, s, m, scriptedJob(JobPrimaryRead, "FETCH b"))
	require.Empty(t, res.Answer.Signature)
	awaitIdle(t, m)
	res = runScripted(t, s, m, scriptedJob(JobRead, "FETCH c"))
	require.NotEqual(t, "sig-b", res.Answer.Signature, "the answer to another read")
}
