package linecaller_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
)

// TestMisplacedMessagesAreDefects guards against callers that take an answer with messages of
// another one for a whole answer.
func TestMisplacedMessagesAreDefects(t *testing.T) {
	for answer, defect := range map[string]string{
		"COMPLETE s|READY I -":                       "",
		"DATAROW a\nCOMPLETE x|COMPLETE s|READY T 1": "",
		"DATAROW a|ERROR FAILED|READY I -":           "",
		"READY I -":                                  "READY I -",
		"COMPLETE s|COMPLETE t|READY I -":            "COMPLETE t",
		"COMPLETE s|ERROR BUSY|READY I -":            "ERROR BUSY",
		"COMPLETE s|DATAROW a|READY I -":             "DATAROW a",
		"NOTE|COMPLETE s|READY I -":                  "NOTE",
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go answerEach(l, "READY I -\r\n", strings.ReplaceAll(answer, "|", "\r\n")+"\r\n")
		s, err := linecaller.Open(l.Addr().String(), "db", "s", time.Minute)
		require.NoError(t, err)
		a, err := s.Run("FETCH a")
		require.NoError(t, err)
		require.Equal(t, defect, a.Defect, answer)
	}
}

// answerEach accepts one connection and answers its messages, one after the other.
func answerEach(l net.Listener, answers ...string) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	r := bufio.NewReader(conn)
	for _, a := range answers {
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		if _, err := io.WriteString(conn, a); err != nil {
			return
		}
	}
}
