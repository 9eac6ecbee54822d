package replicaset

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// idleConn returns a connection whose last operation has ended and whose time
// is over, and the member's end of it.
func idleConn(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	near, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	far, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	raw, err := near.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, near.SetDeadline(clock.Deadline(clock.Now()-time.Millisecond)))
	return &Conn{net: near, raw: raw, reader: bufio.NewReader(near)}, far
}

// TestIdleConnectionOutlivesItsLastStatement: a connection that has been idle
// for longer than its last statement had time is used again. A new one costs
// the member 12 to 27 ms of a slot.
func TestIdleConnectionOutlivesItsLastStatement(t *testing.T) {
	c, _ := idleConn(t)
	require.True(t, c.alive())
	require.True(t, c.alive())
}

// TestClosedOrTalkingConnectionIsNotUsed: the end of a connection, or bytes that
// nobody asked for, are found before a statement is sent.
func TestClosedOrTalkingConnectionIsNotUsed(t *testing.T) {
	c, far := idleConn(t)
	require.NoError(t, far.Close())
	require.Eventually(t, func() bool { return !c.alive() }, 5*time.Second, time.Millisecond)
	c, far = idleConn(t)
	_, err := far.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !c.alive() }, 5*time.Second, time.Millisecond)
}
