package edge

import (
	"net"
	"testing"

	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

// closedConn is a connection that its caller has closed.
type closedConn struct{ gnet.Conn }

func (closedConn) RemoteAddr() net.Addr                        { return nil }
func (closedConn) AsyncWrite([]byte, gnet.AsyncCallback) error { return net.ErrClosed }

// TestUnknownMessageOnClosedConnection guards against a worker that panics on the address of
// a closed connection, which leaves its session running and its transaction open.
func TestUnknownMessageOnClosedConnection(t *testing.T) {
	g, err := New(Config{Workers: 1, Log: zerolog.New(zerolog.NewTestWriter(t)), LogBudget: eventlog.NewRateLimiter()}, platform.CallerProtocol{}, nil, nil)
	require.NoError(t, err)
	defer g.workers.Release()
	s := newCaller(g, closedConn{})
	s.inbox, s.running = []receivedMessage{{message: statement.Message{Kind: statement.UnknownMessage}}}, true
	s.work()
	require.False(t, s.running)
	require.True(t, s.closed)
}
