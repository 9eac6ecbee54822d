package peer

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAllConnectionsToOneAddressAreClosed: those to others stand, and a closed
// one is not kept in mind.
func TestAllConnectionsToOneAddressAreClosed(t *testing.T) {
	open := newOpenConns()
	dial := open.tracking(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		return near, nil
	})
	connect := func(address string) net.Conn {
		c, err := dial(context.Background(), "tcp", address)
		require.NoError(t, err)
		return c
	}
	lost, also, other := connect("a"), connect("a"), connect("b")
	open.closeAll("a")
	for _, c := range []net.Conn{lost, also} {
		_, err := c.Write([]byte("x"))
		require.Error(t, err)
	}
	require.Len(t, open.byAddress, 1)
	require.NoError(t, other.Close())
	require.Empty(t, open.byAddress)
}
