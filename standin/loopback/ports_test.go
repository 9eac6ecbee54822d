package loopback

import (
	"net"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a restarted process finding its port taken by an outgoing
// connection.
func TestAddressIsReusableAfterClose(t *testing.T) {
	seen := map[string]bool{}
	for range 50 {
		l, err := Listen()
		require.NoError(t, err)
		address := l.Addr().String()
		require.False(t, seen[address], "calls return distinct addresses")
		seen[address] = true
		_, text, err := net.SplitHostPort(address)
		require.NoError(t, err)
		port, err := strconv.Atoi(text)
		require.NoError(t, err)
		require.Less(t, port, firstPort+portCount)
		require.NoError(t, l.Close())
		again, err := net.Listen("tcp", address)
		require.NoError(t, err)
		require.NoError(t, again.Close())
	}
}
