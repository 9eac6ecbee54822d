package replicaset

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// idleConn returns an idle connection whose last deadline has expired, and the
// member's end of it.
func idleConn(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	server, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	raw, err := client.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, client.SetDeadline(clock.Deadline(clock.Now()-time.Millisecond)))
	return &Conn{netConn: client, rawConn: raw, reader: bufio.NewReader(client)}, server
}

// TestIdleConnectionUsableAfterDeadline guards against discarding an idle
// connection because the deadline of its last statement has expired.
func TestIdleConnectionUsableAfterDeadline(t *testing.T) {
	c, _ := idleConn(t)
	require.Equal(t, connOpen, c.state())
	require.Equal(t, connOpen, c.state())
}

// TestClosedOrUnexpectedDataConnectionNotReused guards against sending a
// statement on a connection that is closed or has unexpected data.
func TestClosedOrUnexpectedDataConnectionNotReused(t *testing.T) {
	c, server := idleConn(t)
	require.NoError(t, server.Close())
	require.Eventually(t, func() bool { return c.state() == connClosed }, 5*time.Second, time.Millisecond)
	c, server = idleConn(t)
	_, err := server.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.state() == connUnclean }, 5*time.Second, time.Millisecond)
}
