package peer

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Connections to other addresses stay open, and closed ones are untracked.
func TestCloseAllClosesConnectionsToOneAddress(t *testing.T) {
	conns := newOpenConns()
	dial := conns.track(func(context.Context, string, string) (net.Conn, error) {
		local, remote := net.Pipe()
		t.Cleanup(func() { _ = remote.Close() })
		return local, nil
	})
	connect := func(address string) net.Conn {
		c, err := dial(context.Background(), "tcp", address)
		require.NoError(t, err)
		return c
	}
	first, second, other := connect("a"), connect("a"), connect("b")
	conns.closeAll("a")
	for _, c := range []net.Conn{first, second} {
		_, err := c.Write([]byte("x"))
		require.Error(t, err)
	}
	require.Len(t, conns.byAddress, 1)
	require.NoError(t, other.Close())
	require.Empty(t, conns.byAddress)
}
