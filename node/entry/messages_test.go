package entry_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/platform"
	"github.com/dotterelswitch/dotterelswitch/standin/crlf"
)

// rawSession is a caller's connection on which a test writes bytes.
type rawSession struct {
	t      *testing.T
	conn   net.Conn
	reader *crlf.Reader
}

func (d *deployment) openRaw(database string) *rawSession {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.settings[0].CallerAddress)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(d.t, conn.SetDeadline(time.Now().Add(waitLimit)))
	s := &rawSession{t: d.t, conn: conn, reader: crlf.NewReader(conn)}
	s.write("START " + database + " tester\r\n")
	require.Equal(d.t, "READY I -", s.read())
	return s
}

func (s *rawSession) write(text string) {
	s.t.Helper()
	_, err := s.conn.Write([]byte(text))
	require.NoError(s.t, err)
}

func (s *rawSession) read() string {
	s.t.Helper()
	message, err := s.reader.Read()
	require.NoError(s.t, err)
	return message
}

// readAnswer reads the messages up to READY and returns the words of those before it.
func (s *rawSession) readAnswer() []string {
	s.t.Helper()
	var words []string
	for {
		word, rest, _ := strings.Cut(s.read(), " ")
		if word == "READY" {
			return words
		}
		if word == "ERROR" {
			code, _, _ := strings.Cut(rest, " ")
			word += " " + code
		}
		words = append(words, word)
	}
}

// TestStatementsSentTogetherAreAnsweredInOrder guards against a message that is refused before
// the statements ahead of it are answered, or instead of them.
func TestStatementsSentTogetherAreAnsweredInOrder(t *testing.T) {
	d := deploy(t, 1, options())
	d.connect(0, "strict").awaitWrite("item")
	s := d.openRaw("strict")
	s.write("QUERY 1 STORE item a\r\nQUERY 2 STORE item b\nQUERY x STORE item c\r\nQUERY 3 FETCH item\r\nQUERY 4 SET a \x00\r\nQUERY 5 FETCH item\r\n" +
		"QUERY 6 STORE item " + strings.Repeat("x", platform.MaxMessageBytes))
	require.Equal(t, []string{"COMPLETE"}, s.readAnswer())
	require.Equal(t, []string{"ERROR MALFORMED"}, s.readAnswer())
	require.Equal(t, []string{"DATAROW", "COMPLETE"}, s.readAnswer())
	require.Equal(t, []string{"ERROR MALFORMED"}, s.readAnswer())
	require.Equal(t, []string{"DATAROW", "COMPLETE"}, s.readAnswer())
	require.Contains(t, s.read(), "ERROR TOOLARGE ")
	_, err := s.reader.Read()
	require.Error(t, err, "the session cannot go on")
	for _, id := range []string{"2", "x", "6"} {
		require.Zero(t, d.group.CommitCount(id))
	}
}

// TestMessagesInPiecesAreWhole guards against a message that is taken for several, or several
// for one, where the network cuts or joins them, up to the largest message.
func TestMessagesInPiecesAreWhole(t *testing.T) {
	d := deploy(t, 1, options())
	d.connect(0, "strict").awaitWrite("item")
	s := d.openRaw("strict")
	for _, b := range []byte("QUERY 1 STORE item a\r\nQUERY 2 FETCH item\r\n") {
		s.write(string(b))
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, []string{"COMPLETE"}, s.readAnswer())
	require.Equal(t, "DATAROW a", s.read())
	s.readAnswer()
	head := "QUERY 3 STORE item "
	largest := strings.Repeat("x", platform.MaxMessageBytes-len(head))
	s.write(head + largest + "\r")
	time.Sleep(10 * time.Millisecond)
	s.write("\nQUERY 4 FETCH item\r\n")
	require.Equal(t, []string{"COMPLETE"}, s.readAnswer())
	row := s.read()
	require.Equal(t, "DATAROW "+largest, row, "a row of %d bytes", len(row))
	s.readAnswer()
	for n := range 20 {
		s.write(fmt.Sprintf("QUERY %d FETCH item\r\n", 5+n))
	}
	for range 20 {
		require.Equal(t, []string{"DATAROW", "COMPLETE"}, s.readAnswer())
	}
}
